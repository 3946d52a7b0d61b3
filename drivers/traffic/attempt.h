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
    virtual void relay(Attempt &attempt, const ResponseHead &head, std::string_view event,
                       std::optional<EventId> id) = 0;
    /// An answer says that the endpoint is about to end.
    virtual void endpointLeaves(const EndpointId &endpoint) = 0;
    /// The attempt has ended. The owner drops it, but not before this call has returned.
    virtual void ended(Attempt &attempt, AttemptResult result, std::string_view reason) = 0;
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
    void begin(std::shared_ptr<EndpointConnection> connection, std::string request, bool reused,
               bool isHeadRequest);
    /// Closes the connection without a report.
    void cancel();

    const AttemptStart &start() const { return m_start; }
    /// Returns the head of the endpoint's answer.
    const ResponseHead &answerHead() const { return m_reader->head(); }
    /// Returns the body of an answer that is not relayed.
    const std::string &answerBody() const { return m_body; }
    Instant sentAt() const { return m_sentAt; }
    /// Returns until when the endpoint that declined wants nothing from this instance.
    std::optional<Instant> closedUntil() const;
    bool connectionReused() const { return m_reused; }
    /// Hands over the connection of a whole answer if it may carry another request.
    std::shared_ptr<EndpointConnection> takeReusableConnection();

private:
    enum class Mode {
        Unknown, ///< No head of an answer yet.
        Foreign, ///< The answer to an earlier request; it is skipped.
        Buffered,
        Relayed,
    };

    void received(std::string &input) override;
    void broken(bool inOrder, std::string_view reason) override;
    void connected() override;

    void startReader();
    bool isWithinBounds(const std::string &input);
    void judgeHead();
    void receiveBody(std::string_view bytes);
    bool relayEvents();
    bool finishAnswer();
    void complete();
    void end(AttemptResult result, std::string_view reason);

    const AttemptStart m_start;
    const std::string m_callerId;
    const WireCodec &m_codec;
    AttemptOwner &m_owner;
    EventLoop &m_loop;
    std::shared_ptr<EndpointConnection> m_connection;
    std::optional<HttpResponseReader> m_reader;
    ResponseTraits m_traits;
    Mode m_mode = Mode::Unknown;
    EventSplitter m_events;
    std::string m_body;
    std::string m_request; ///< Until it is sent.
    Instant m_sentAt;
    Instant m_headAt;                 ///< When the head of the answer was here.
    std::uint64_t m_foreignBytes = 0; ///< Of answers that were skipped.
    unsigned m_foreignAnswers = 0;
    bool m_reused = false;
    bool m_isHeadRequest = false;
    bool m_ended = false;
    TimerQueue::Handle m_connectTimer;
};

} // namespace monsoonsail
