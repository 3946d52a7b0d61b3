#pragma once

#include "core/error_kind.h"
#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_watch.h"
#include "servers/placement/placement.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/deadline_queue.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"
#include "servers/serving/stream_progress.h"

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Takes each request from its arrival to its final answer. Deterministic: it has no thread, clock
/// or socket, and is used by one thread at a time. `now` must not decrease.
class ServingCore
{
public:
    explicit ServingCore(ServingContext &context);

    void arrived(const RequestArrival &arrival, Instant now);
    void callerGone(RequestNumber request, Instant now);
    void progressed(std::span<const StreamProgress> streams, Instant now);
    void ended(const AttemptEnd &end, Instant now);
    /// Handles requests that are due.
    void expire(Instant now);
    /// Looks for endpoints that have fallen silent, and moves their streams. Called often.
    void moveFromSilent(Instant now);
    std::optional<Instant> nextDeadline() const { return m_deadlines.first(); }

    /// Whether no request is in progress.
    bool isIdle() const { return m_requests.empty(); }
    std::size_t requestCount() const { return m_requests.size(); }

private:
    std::vector<const Endpoint *> candidates(const RequestRecord &record, Instant now) const;
    std::optional<Placement> place(const RequestRecord &record, Instant now);
    /// Starts an attempt, or gives up if no endpoint can take it.
    void start(RequestRecord &record, Instant now);
    void begin(RequestRecord &record, const Placement &placement, Instant now);
    void hedge(RequestRecord &record, Instant now);
    void succeeded(RequestRecord &record, const AttemptEnd &end, Instant now);
    void failed(RequestRecord &record, const AttemptEnd &end, Instant now);
    bool mayTryAgain(const RequestRecord &record, Instant now) const;
    /// Gives the best final answer that is left to a request whose attempts have failed.
    void giveUp(RequestRecord &record, ErrorKind ifNotRun, std::string_view cause, Instant now);
    void refuse(RequestRecord &record, ErrorKind kind, std::optional<Instant> retryAt,
                std::string_view cause, Instant now);
    void expireRequest(RequestRecord &record, Instant now);
    void stop(RequestRecord &record, const RunningAttempt &attempt, EndpointVerdict verdict,
              Instant now);
    void stopAll(RequestRecord &record, EndpointVerdict verdict, Instant now);
    void meter(RequestRecord &record, Instant at);
    void schedule(RequestRecord &record);
    void erase(RequestRecord &record);

    ServingContext &m_context;
    std::unordered_map<RequestNumber, RequestRecord> m_requests;
    DeadlineQueue m_deadlines;
    AttemptNumber m_lastAttempt = 0;
};

} // namespace monsoonsail
