#pragma once

#include "drivers/loop/event_loop.h"
#include "drivers/traffic/attempt.h"
#include "drivers/traffic/caller_connection.h"
#include "drivers/traffic/caller_listener.h"
#include "drivers/traffic/caller_set.h"
#include "drivers/traffic/endpoint_call.h"
#include "drivers/traffic/endpoint_pool.h"
#include "drivers/traffic/exchange.h"
#include "drivers/traffic/response_memory.h"
#include "drivers/traffic/wire_codec.h"
#include "servers/ports/traffic_listener.h"
#include "servers/ports/traffic_port.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace monsoonsail {

/// Relays requests and responses between callers and endpoints. Requests and events are reported to
/// the listener; the user of TrafficPort decides what is done with them. Must be used on the thread
/// of `loop`.
class TrafficRelay : public TrafficPort, private CallerConnectionOwner, private AttemptOwner
{
public:
    /// All references must outlive the relay. `maxResponseBytes` bounds the memory for responses
    /// of endpoints that are in progress, all together.
    TrafficRelay(EventLoop &loop, const WireCodec &codec, TrafficListener &listener,
                 std::size_t maxResponseBytes, const CallerLimits &callerLimits,
                 CallerFaults &callerFaults);
    ~TrafficRelay() override;
    TrafficRelay(const TrafficRelay &) = delete;
    TrafficRelay &operator=(const TrafficRelay &) = delete;

    /// Listens for callers on "IP:port". Throws std::system_error if that fails.
    void listen(std::string_view address);

    void startAttempt(const AttemptStart &attempt) override;
    void cancelAttempt(RequestNumber request, AttemptNumber attempt) override;
    void moveRun(const RunMove &move) override;
    void endStream(RequestNumber request) override;
    void checkEndpoint(const EndpointCheck &check) override;
    void refuse(const Refusal &refusal) override;
    void deliverAnswer(RequestNumber request, AttemptNumber attempt) override;
    void abortAnswer(RequestNumber request) override;
    void finishRequest(RequestNumber request) override;
    void closeConnections(const EndpointId &endpoint) override;
    void applyLimits(const ConnectionLimits &limits) override;
    void beginStop() override;
    void closeCallers() override;

    /// Returns the port on which callers are accepted.
    unsigned port() const { return m_callerListener->port(); }
    /// Returns the count of the memory for responses. May be read on any thread.
    const ResponseMemory &responseMemory() const { return m_responseMemory; }

    /// Returns the count of the memory for requests. Must be used on the thread of the loop.
    const RequestMemory &requestMemory() { return m_callers.requestMemory(); }

private:
    void onRequest(CallerConnection &connection, RequestHead head, std::string body,
                   Instant headReceivedAt) override;
    void onCallerDisconnected(CallerConnection &connection) override;
    void onConnectionClosed(CallerConnection &connection) override;
    const ConnectionLimits &limits() const override { return m_limits; }
    CallerSet &callers() override { return m_callers; }
    bool isStopping() const override { return m_stopping; }

    void onStreamBlock(Attempt &attempt, const StreamBlock &block) override;
    bool hasRelayedEvents(RequestNumber request) const override;
    bool mayHaveBeenStopped(const Attempt &attempt) const override;
    bool closesAfterChecks(const EndpointId &endpoint) const override;
    void startSeparateCheck(const Attempt &attempt) override;
    void onResponseHead(const EndpointId &endpoint, const ResponseTraits &traits) override;
    void onEndpointLeaving(const EndpointId &endpoint) override;
    void onMemoryExceeded() override;
    void onAttemptEnded(Attempt &attempt, AttemptResult result, std::string_view reason) override;

    Exchange *findExchange(RequestNumber request) const;
    std::shared_ptr<EndpointConnection> connect(const Exchange &exchange, const AttemptStart &start,
                                                bool &connectionReused, std::string &reason);
    /// Ends the attempts that the one that has begun was to replace, and reports it.
    void endEarlierAttempts(Exchange &exchange, const Attempt &begun);
    static bool hasLaterAttempt(const Exchange &exchange, const Attempt &attempt);
    void passOn(Exchange &exchange, const Attempt &attempt, const StreamBlock &block);
    void recordEvent(Exchange &exchange, const Attempt &attempt, std::optional<EventId> id);
    /// Passes on what an attempt has sent while a later one was about to replace it.
    void passOnHeldBlocks(Exchange &exchange, const Attempt &attempt);
    /// Sends the end of a stream to the caller.
    void completeStream(Exchange &exchange, std::string output);
    void dropAttempt(Exchange &exchange, AttemptNumber attempt);
    void eraseExchange(RequestNumber request);
    void reportProgress();
    void refuseNewRequest(RequestNumber request);
    void endOpenRequests();
    void reportCallersClosed();
    /// Counts the memory that the request takes.
    void countRequestBytes(Exchange &exchange);
    void sweep();

    EventLoop &m_loop;
    const WireCodec &m_codec;
    TrafficListener &m_listener;
    ResponseMemory m_responseMemory;
    ConnectionLimits m_limits;
    bool m_stopping = false;
    bool m_isClosing = false;        ///< Set by closeCallers(), after which nothing is passed on.
    bool m_areCallersClosed = false; ///< Whether the listener has been told.
    CallerSet m_callers;
    std::unique_ptr<CallerListener> m_callerListener;
    EndpointPool m_endpointPool;
    std::unordered_map<RequestNumber, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<const CallerConnection *, RequestNumber> m_requestsByCaller;
    /// Attempts that have ended. They are destroyed later, since one of their functions may still
    /// be on the stack.
    std::vector<std::unique_ptr<Attempt>> m_endedAttempts;
    std::vector<std::unique_ptr<EndpointCall>> m_endpointCalls;
    std::unordered_set<RequestNumber> m_requestsWithProgress; ///< Exchanges with events to report.
    std::set<EndpointId> m_limitedEndpoints; ///< Their last response named a limit.
    /// Their last response to a check of the incarnation closed its connection.
    std::set<EndpointId> m_closingEndpoints;
    RequestNumber m_lastRequest = 0;
    TimerQueue::Handle m_progressTimer;
    TimerQueue::Handle m_sweepTimer;
};

} // namespace monsoonsail
