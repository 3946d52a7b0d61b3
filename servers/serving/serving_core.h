#pragma once

#include "core/error_kind.h"
#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/attempt_launcher.h"
#include "servers/serving/deadline_queue.h"
#include "servers/serving/endpoint_check.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/request_record.h"
#include "servers/serving/run_move.h"
#include "servers/serving/serving_context.h"
#include "servers/serving/stream_progress.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Handles requests from their arrival to their final answer. Deterministic: it has no threads,
/// clock or sockets and must be used by one thread at a time. `now` must not decrease.
class ServingCore
{
public:
    explicit ServingCore(ServingContext &context);

    void handleArrival(const RequestArrival &arrival, Instant now);
    void handleCallerDisconnect(RequestNumber request, Instant now);
    void handleProgress(std::span<const StreamProgress> streams, Instant now);
    void handleAttemptEnd(const AttemptEnd &reported, Instant now);
    /// Handles the notice that an endpoint is about to end.
    void handleEndpointLeaving(const EndpointId &endpoint, Instant now);
    void handleMoveEnd(const RunMoveEnd &end, Instant now);
    /// Handles all requests whose time in the deadline queue has come.
    void handleDueRequests(Instant now);
    /// Checks endpoints whose streams have paused, and restarts the streams of stalled endpoints
    /// on others. Called several times a second.
    void checkSilentEndpoints(Instant now);
    /// Restarts streams that wait much longer for their first event than other endpoints would
    /// take. Called several times a second.
    void restartLateStreams(Instant now);
    /// Handles the end of a status check. If the endpoint has failed, its streams are restarted on
    /// other endpoints.
    void handleEndpointCheckEnd(const EndpointCheckEnd &end, Instant now);
    /// Moves or restarts the streams of endpoints that are about to end. Called several times a
    /// second.
    void evacuateLeavingEndpoints(Instant now);
    /// Ends the requests whose answers have not begun, since the process is about to end. What may
    /// have run is reported as such.
    void endWaitingRequests(Instant now);
    /// Ends all requests, also by cutting streams.
    void endAllRequests(Instant now);
    std::optional<Instant> nextDeadline() const { return m_deadlines.earliest(); }
    /// Sets the function to call when nextDeadline() becomes earlier, whatever the cause.
    void setDeadlineHandler(std::function<void()> handler)
    {
        m_deadlines.setEarlierHandler(std::move(handler));
    }

    /// Whether no request is in progress.
    bool isIdle() const { return m_requests.empty(); }
    std::size_t requestCount() const { return m_requests.size(); }

private:
    using Requests = std::unordered_map<RequestNumber, RequestRecord>;

    void startFirstAttempt(RequestRecord &record, Instant now);
    void startAttempt(RequestRecord &record, const Placement &placement, Instant now);
    /// Records that the caller has an event of the stream, which the attempt has begun.
    void recordBegin(RequestRecord &record, AttemptNumber attempt);
    /// Looks for the software version that began a stream which the caller takes up.
    void findOrigin(RequestRecord &record, Instant now);
    void handleOrigin(RequestNumber request, const StreamOrigin &origin, Instant now);
    /// Refuses to take up a stream whose version is not known, or has no endpoint.
    void refuseTakeUp(RequestRecord &record, const StreamOrigin &origin, Instant now);
    /// Ends a request for which no endpoint is available.
    void endUnplaced(RequestRecord &record, Instant now);
    void startHedge(RequestRecord &record, Instant now);
    /// Handles the end of a stream whose engine was told to stop the run, as long as the order is
    /// not settled or the run goes on elsewhere.
    void handleMovingStreamEnd(RequestRecord &record, RunningAttempt &attempt,
                               const AttemptEnd &end, Instant now);
    /// Decides whether a stream that its endpoint closed is whole, and sets the result of `end`.
    /// The caller's answer is ended if it is.
    void judgeClosedStream(const RequestRecord &record, const RunningAttempt &attempt,
                           AttemptEnd &end, Instant now);
    void handleSuccess(RequestRecord &record, const AttemptEnd &end, Instant now);
    void handleFailure(RequestRecord &record, const AttemptEnd &end, Instant now);
    /// Tries another replacement of the running attempts, which go on if there is none.
    void handleFailedReplacement(RequestRecord &record, const AttemptEnd &end, Instant now);
    void recordEvents(const RequestRecord &record, RunningAttempt &attempt,
                      const StreamProgress &progress, Instant now);
    /// Records that an endpoint went on to answer the request.
    void recordSoundRun(const RequestRecord &record, Instant now);
    /// Records that an endpoint closed the connection of the attempt, if it had hardly answered.
    void recordCrash(const RequestRecord &record, const RunningAttempt &attempt, Instant now);
    /// Whether endpoints crash under a part of the request's prompt.
    bool isQuarantined(const RequestRecord &record) const;
    /// Whether the request was let through all the same and no endpoint has run it yet.
    bool isUnspentTrial(const RequestRecord &record) const;
    bool mayRetry(const RequestRecord &record, Instant now) const;
    /// Starts an attempt on another endpoint that replaces all running ones, if that is allowed.
    /// `isRepeat` tells whether it takes from the repeat budget.
    void restartOnAnotherEndpoint(RequestRecord &record, bool isRepeat, Instant now);
    void restartStreamsOf(const EndpointId &endpoint, Instant now);
    /// Restarts streams that have run on the endpoint before, if it has ended, and are on a silent
    /// one now.
    void restartKeptStreams(const EndpointId &endedEndpoint, Instant now);
    /// Whether a request in progress has run on the endpoint.
    bool hasRunOn(const EndpointId &endpoint) const;
    /// Ends the requests that still run on an endpoint that has ended.
    void giveUpRunsOf(const EndpointId &endpoint, Instant now);
    std::vector<RequestNumber> requestsOn(const EndpointId &endpoint) const;
    void requestMove(RequestRecord &record, RunningAttempt &attempt, Instant now);
    /// Continues a run on the endpoint to which its KV cache was moved.
    void continueMovedRun(RequestRecord &record, AttemptNumber attempt, Instant now);
    /// Returns why a moved run can't continue on the endpoint, or an empty text if it can.
    std::string_view obstacleToMovedRun(const RequestRecord &record, const EndpointId &endpoint,
                                        Instant now);
    /// Continues a moved run at its source if the target doesn't take it and nothing else is
    /// allowed. `isRepeat` tells whether it takes from the repeat budget.
    bool returnToSource(RequestRecord &record, const MoveOrigin &origin, bool isRepeat,
                        Instant now);
    /// Ends a request whose attempts have failed with the best answer available.
    void giveUp(RequestRecord &record, ErrorKind errorIfNotRun, std::string_view cause,
                Instant now);
    void refuse(RequestRecord &record, ErrorKind kind, std::optional<Instant> retryAt,
                std::string_view cause, Instant now);
    void handleDueRequest(RequestRecord &record, Instant now);
    void endRequest(RequestRecord &record, Instant now);
    void recordUsage(RequestRecord &record, Instant at);
    void reschedule(RequestRecord &record);
    void erase(RequestRecord &record);

    ServingContext &m_context;
    AttemptLauncher m_launcher;
    Requests m_requests;
    DeadlineQueue m_deadlines;
};

} // namespace monsoonsail
