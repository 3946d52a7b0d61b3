#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/deadline_queue.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"
#include "servers/serving/stream_progress.h"

#include <memory>
#include <optional>
#include <span>
#include <unordered_map>

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
    /// Handles everything that is due.
    void expire(Instant now);
    std::optional<Instant> nextDeadline() const { return m_deadlines.first(); }

    /// Whether no request is in progress.
    bool isIdle() const { return m_requests.empty(); }
    std::size_t requestCount() const { return m_requests.size(); }

private:
    using Records = std::unordered_map<RequestNumber, RequestRecord>;

    ErrorKind admit(RequestRecord &record, Instant now) const;
    void chooseService(RequestRecord &record);
    std::optional<Placement> place(const RequestRecord &record, Instant now);
    /// Starts an attempt, or refuses the request if that is hopeless.
    void start(RequestRecord &record, Instant now);
    void begin(RequestRecord &record, const Placement &placement, bool isHedge, Instant now);
    void answered(RequestRecord &record, const RunningAttempt &attempt, const AttemptEnd &end,
                  Instant now);
    void failed(RequestRecord &record, const AttemptEnd &end, Instant now);
    bool mayTryAgain(const RequestRecord &record, bool mayHaveRun, Instant now) const;
    void giveUp(RequestRecord &record, ErrorKind kind, Instant now);
    void expireRequest(RequestRecord &record, Instant now);
    void cancelRunning(RequestRecord &record, EndpointVerdict verdict, Instant now);
    void schedule(RequestRecord &record);
    void erase(RequestNumber request);

    ServingContext &m_context;
    Records m_requests;
    DeadlineQueue m_deadlines;
    AttemptNumber m_lastAttempt = 0;
};

} // namespace monsoonsail
