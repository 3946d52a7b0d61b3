#pragma once

#include "core/instant.h"
#include "drivers/http/message_reader.h"
#include "drivers/loop/event_loop.h"
#include "drivers/traffic/endpoint_connection.h"
#include "drivers/traffic/event_splitter.h"
#include "drivers/traffic/response_memory.h"
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

/// A part of a streamed response.
struct StreamBlock
{
    std::string_view text;
    std::optional<EventId> id;
    bool isEvent = false; ///< Whether it is or ends with an event; otherwise it is a comment.
};

/// Owns an attempt and receives its events.
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// Called for each block of a streamed response. What precedes the first event comes with it.
    virtual void onStreamBlock(Attempt &attempt, const StreamBlock &block) = 0;
    /// Whether events of the response, of any attempt, have been relayed to the caller.
    virtual bool hasRelayedEvents(RequestNumber request) const = 0;
    /// Whether the endpoint was told to stop a run of the request.
    virtual bool mayHaveBeenStopped(const Attempt &attempt) const = 0;
    /// Whether the endpoint closes connections on which it is asked for its start.
    virtual bool closesAfterChecks(const EndpointId &endpoint) const = 0;
    /// Asks the endpoint for its start on a new connection, and passes the response to
    /// Attempt::finishSeparateCheck().
    virtual void startSeparateCheck(const Attempt &attempt) = 0;
    /// Called for each response to the request.
    virtual void onResponseHead(const EndpointId &endpoint, const ResponseTraits &traits) = 0;
    /// Called when a response announces that the endpoint is shutting down.
    virtual void onEndpointLeaving(const EndpointId &endpoint) = 0;
    /// Called when the responses of all attempts together hold more memory than they may. The owner
    /// ends some of them with Attempt::endForMemory().
    virtual void onMemoryExceeded() = 0;
    /// Called once when the attempt has ended. The owner must not destroy the attempt during the
    /// call.
    virtual void onAttemptEnded(Attempt &attempt, AttemptResult result,
                                std::string_view reason) = 0;
};

/// Sends a request to an endpoint and receives the response.
class Attempt : private EndpointConnectionUser
{
public:
    /// The references must outlive the attempt. `memory` counts what all attempts hold.
    Attempt(AttemptStart start, std::string callerId, const WireCodec &codec, AttemptOwner &owner,
            ResponseMemory &memory, EventLoop &loop);
    ~Attempt() override;
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// Sends the request on `connection`, once it is connected.
    void send(std::shared_ptr<EndpointConnection> connection, std::string request,
              bool connectionReused, bool isHeadRequest);
    /// Continues after the check of the incarnation on another connection. `status` is 0 without a
    /// response.
    void finishSeparateCheck(int status, std::string_view body);
    /// Closes the connection and releases the response without calling the owner.
    void cancel();
    /// Ends the attempt since its response holds too much memory.
    void endForMemory();

    const AttemptStart &start() const { return m_start; }
    /// Returns the head of the response.
    const ResponseHead &responseHead() const { return m_reader->head(); }
    /// Returns the body of a response that is buffered, not relayed event by event.
    const std::string &responseBody() const { return m_body; }
    /// Returns how the end of the response is marked.
    AnswerFraming responseFraming() const;
    /// Whether it has been cancelled, or its end reported to the owner.
    bool hasEnded() const { return m_ended; }
    /// Whether the response was given up for its length.
    bool wasTooLong() const { return m_wasTooLong; }
    /// Returns the bytes of the response that are held in memory.
    std::size_t heldBytes() const { return m_heldBytes; }
    /// Returns the bytes of the request that are held until the endpoint's socket accepts them.
    std::size_t unsentRequestBytes() const;
    Instant sentAt() const { return m_sentAt; }
    /// Returns the instant before which the endpoint, which declined, accepts no further request
    /// from this instance.
    std::optional<Instant> endpointClosedUntil() const;
    /// Whether the endpoint closed or reset the connection.
    bool wasDisconnected() const { return m_wasDisconnected; }
    /// Whether the endpoint closed the connection when it had been asked for its start.
    bool wasClosedAfterCheck() const { return m_wasClosedAfterCheck; }
    bool connectionReused() const { return m_connectionReused; }
    /// Releases the connection if the response is complete and another request may follow on it;
    /// otherwise returns nullptr.
    std::shared_ptr<EndpointConnection> releaseReusableConnection();

private:
    enum class Mode {
        CheckingIncarnation, ///< The request is sent when the endpoint has named its start.
        CheckingSeparately,  ///< The same, on another connection.
        AwaitingHead,        ///< The head of a response is not complete yet.
        Skipped,  ///< An interim response, or the response to another request: discarded.
        Buffered, ///< Kept until it is complete.
        Relayed,  ///< Passed to the owner event by event.
    };

    void onBytesReceived(std::string &input) override;
    void onDisconnected(ConnectionEnd end, std::string_view reason) override;
    void onConnected() override;

    bool isChecking() const
    {
        return m_mode == Mode::CheckingIncarnation || m_mode == Mode::CheckingSeparately;
    }
    void beginIncarnationCheck();
    void finishIncarnationCheck();
    bool passesCheck(int status, std::string_view body);
    void sendRequest();
    void startReader();
    bool isWithinLimits(const std::string &input);
    void updateHeldBytes(std::size_t unparsedBytes);
    void reportTooLong(std::string_view reason);
    void processHead();
    bool mayRepeatTheCheck(const ResponseTraits &traits) const;
    void processBody(std::string_view bytes);
    bool relayEvents();
    bool finishResponse();
    bool isEmptyStreamWhole() const;
    bool endsInsideAnEvent() const;
    void passOnRemainder();
    void reportResponse();
    void reportEnd(AttemptResult result, std::string_view reason);

    const AttemptStart m_start;
    const std::string m_callerId;
    const WireCodec &m_codec;
    AttemptOwner &m_owner;
    ResponseMemory &m_memory;
    EventLoop &m_loop;
    std::shared_ptr<EndpointConnection> m_connection;
    std::optional<HttpResponseReader> m_reader;
    ResponseTraits m_responseTraits;
    Mode m_mode = Mode::AwaitingHead;
    EventSplitter m_eventSplitter;
    /// What came before the first event. The endpoint may still fail, so the caller's response does
    /// not begin with it.
    std::string m_preamble;
    std::string m_body;
    std::string m_pendingRequest; ///< Kept until the connection is established.
    Instant m_sentAt;
    Instant m_headReceivedAt;         ///< When the head of the response was complete.
    std::uint64_t m_skippedBytes = 0; ///< Body bytes of skipped responses.
    std::size_t m_heldBytes = 0;      ///< As counted in m_memory.
    unsigned m_skippedResponses = 0;
    bool m_connectionReused = false;
    bool m_isHeadRequest = false;
    bool m_hasEvents = false; ///< Whether the stream has had an event.
    bool m_ended = false;
    bool m_wasDisconnected = false;
    bool m_wasTooLong = false;
    bool m_wasClosedAfterCheck = false;
    TimerQueue::Handle m_connectTimer;
};

} // namespace monsoonsail
