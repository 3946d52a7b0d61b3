#pragma once

#include "core/instant.h"
#include "drivers/http/message_reader.h"
#include "drivers/loop/event_loop.h"
#include "drivers/traffic/endpoint_connection.h"
#include "drivers/traffic/event_splitter.h"
#include "drivers/traffic/wire_codec.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/attempt_start.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

class Attempt;

/// Told of the course of an attempt.
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// A whole event of a stream is here. `head` is that of the endpoint's answer.
    virtual void onStreamEvent(Attempt &attempt, const ResponseHead &head, std::string_view event,
                               std::optional<EventId> id) = 0;
    /// An answer says that the endpoint is about to end.
    virtual void onEndpointLeaving(const EndpointId &endpoint) = 0;
    /// The attempt has ended. The owner drops it, but not before this call has returned.
    virtual void onAttemptEnded(Attempt &attempt, AttemptResult result,
                                std::string_view reason) = 0;
};

/// One attempt to run a request on an endpoint, from the traffic's side.
class Attempt : private EndpointConnectionUser
{
public:
    /// `codec` and `owner` must outlive the attempt.
    Attempt(AttemptStart start, std::string callerId, const WireCodec &codec, AttemptOwner &owner,
            EventLoop &loop);
    ~Attempt() override;
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// Sends the request on `connection`, which may still be connecting.
    void send(std::shared_ptr<EndpointConnection> connection, std::string request,
              bool connectionReused, bool isHeadRequest);
    /// Closes the connection without a report.
    void cancel();

    const AttemptStart &start() const { return m_start; }
    /// Returns the head of the endpoint's answer.
    const ResponseHead &responseHead() const { return m_reader->head(); }
    /// Returns the body of an answer that is not relayed.
    const std::string &responseBody() const { return m_body; }
    Instant sentAt() const { return m_sentAt; }
    /// Returns until when the endpoint that declined wants nothing from this instance.
    std::optional<Instant> retryNotBefore() const;
    bool connectionReused() const { return m_connectionReused; }
    /// Hands over the connection of a whole answer if it may carry another request.
    std::shared_ptr<EndpointConnection> releaseReusableConnection();

private:
    enum class Mode {
        AwaitingHead, ///< No head of an answer yet.
        Skipped,      ///< The answer to an earlier request; it is skipped.
        Buffered,
        Relayed,
    };

    void onBytesReceived(std::string &input) override;
    void onDisconnected(bool isOrderly, std::string_view reason) override;
    void onConnected() override;

    void startReader();
    bool isWithinLimits(const std::string &input);
    void processHead();
    void processBody(std::string_view bytes);
    bool relayEvents();
    bool finishResponse();
    void reportResponse();
    void reportEnd(AttemptResult result, std::string_view reason);

    const AttemptStart m_start;
    const std::string m_callerId;
    const WireCodec &m_codec;
    AttemptOwner &m_owner;
    EventLoop &m_loop;
    std::shared_ptr<EndpointConnection> m_connection;
    std::optional<HttpResponseReader> m_reader;
    ResponseTraits m_responseTraits;
    Mode m_mode = Mode::AwaitingHead;
    EventSplitter m_eventSplitter;
    std::string m_body;
    std::string m_pendingRequest; ///< Until it is sent.
    Instant m_sentAt;
    Instant m_headReceivedAt;         ///< When the head of the answer was here.
    std::uint64_t m_skippedBytes = 0; ///< Of answers that were skipped.
    unsigned m_skippedResponses = 0;
    bool m_connectionReused = false;
    bool m_isHeadRequest = false;
    bool m_ended = false;
    TimerQueue::Handle m_connectTimer;
};

} // namespace monsoonsail
