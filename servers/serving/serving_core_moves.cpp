#include "servers/serving/endpoint_end.h"
#include "servers/serving/evacuation.h"
#include "servers/serving/serving_core.h"

#include <algorithm>
#include <chrono>
#include <vector>

// The part of the serving core that moves runs off endpoints that are ending or silent.

namespace monsoonsail {

namespace {

/// A stream without an event for this long may go to another engine. Loads of engines are known
/// with a delay of up to a second, so a few requests meet long queues.
constexpr Duration lateFirstEventTime = std::chrono::milliseconds(1000);
constexpr Duration lateCheckInterval = std::chrono::milliseconds(500);
/// How many times shorter the wait on the other engine must be expected to be than the wait so far.
constexpr int minLateRestartGain = 2;
/// Timeout of a move request. Copies on the same link of an engine wait for each other.
constexpr Duration moveTimeout = std::chrono::milliseconds(700);
/// Time for the old stream to end after a move. It ends at once unless its connection is stalled.
constexpr Duration movedStreamTimeout = std::chrono::milliseconds(150);
/// Time from when the platform has stored that an endpoint leaves until this instance knows it.
constexpr Duration maxNoticeDelay = std::chrono::milliseconds(500);

/// Whether the endpoint may have announced its end so long ago that nothing may be sent to it.
bool isDrained(const Endpoint &endpoint, Duration drainTime, Instant now)
{
    return !endpoint.isUsable(now) && endpoint.stateSince + drainTime <= now + maxNoticeDelay;
}

} // namespace

void ServingCore::checkSilentEndpoints(Instant now)
{
    std::vector<EndpointId> due = m_context.endpointHealth.beginDueChecks(now);
    // No stream is left on these, but whether they have ended decides on further runs.
    for (const EndpointId &id : m_context.endpointHealth.unconfirmedSilences(now)) {
        if (!isTimeOver(id, m_context, now) || !hasRunOn(id))
            continue;
        m_context.endpointHealth.beginCheck(id, now);
        due.push_back(id);
    }
    for (const EndpointId &id : due) {
        const Endpoint *endpoint = m_context.endpoints.find(id);
        if (endpoint == nullptr) {
            handleEndpointCheckEnd({.endpoint = id}, now);
            continue;
        }
        // A check is a request as well. Without one, silence is noticed as a stall, a little later.
        if (!m_context.endpointLimits.mayUse(id, now)) {
            m_context.endpointHealth.recordInconclusiveCheck(id);
            continue;
        }
        m_context.endpointLimits.recordUse(id, now);
        m_context.traffic.checkEndpoint(
                {.endpoint = id,
                 .address = endpoint->listing.address,
                 .deadline = now + EndpointHealthTracker::checkTimeout,
                 .watchUntil = now + EndpointHealthTracker::checkWatchTime});
    }
    for (const EndpointId &endpoint : m_context.endpointHealth.detectStalled(now)) {
        m_context.log.write(LogLevel::Warning, "endpoint-silent", {},
                            {{"endpoint", endpoint.view()}, {"reason", "no events"}});
        restartStreamsOf(endpoint, now);
    }
}

void ServingCore::restartLateStreams(Instant now)
{
    std::vector<RequestNumber> late;
    for (const auto &[number, record] : m_requests) {
        if (record.nextLateCheckAt > now || !record.isStream() || !record.isIdempotent()
            || record.repeats > 0 || record.runningAttempts.size() != 1 || !mayRetry(record, now))
            continue;
        const RunningAttempt &attempt = record.runningAttempts.front();
        if (!attempt.hasEvents && attempt.moveState == RunningAttempt::MoveState::None
            && attempt.startedAt + lateFirstEventTime <= now)
            late.push_back(number);
    }
    for (const RequestNumber number : late) {
        RequestRecord &record = m_requests.at(number);
        record.nextLateCheckAt = now + lateCheckInterval;
        const Duration waited = now - record.runningAttempts.front().startedAt;
        const std::optional<Placement> placement = m_launcher.place(record, now);
        if (placement && (placement->expectedFirstByteAt - now) * minLateRestartGain <= waited)
            restartOnAnotherEndpoint(record, true, now);
    }
}

void ServingCore::handleEndpointCheckEnd(const EndpointCheckEnd &end, Instant now)
{
    if (!end.isConclusive) {
        m_context.endpointHealth.recordInconclusiveCheck(end.endpoint);
        return;
    }
    if (end.isLate) {
        m_context.endpointHealth.recordAnswer(end.endpoint);
        return;
    }
    if (!m_context.endpointHealth.recordCheckEnd(end.endpoint, end.isResponsive, now))
        return;
    m_context.log.write(
            LogLevel::Warning, "endpoint-silent", {},
            {{"endpoint", end.endpoint.view()}, {"reason", "no answer to a status check"}});
    m_context.traffic.closeConnections(end.endpoint);
    restartStreamsOf(end.endpoint, now);
    restartKeptStreams(end.endpoint, now);
    // An endpoint that is only silent may still finish its work, so the runs that can't be
    // restarted are kept until it is known to have ended.
    if (evidenceOfEnd(end.endpoint, m_context, now) != EndEvidence::None)
        giveUpRunsOf(end.endpoint, now);
}

std::vector<RequestNumber> ServingCore::requestsOn(const EndpointId &endpoint) const
{
    std::vector<RequestNumber> requests;
    for (const auto &[number, record] : m_requests) {
        if (std::ranges::find(record.runningAttempts, endpoint, &RunningAttempt::endpoint)
            != record.runningAttempts.end())
            requests.push_back(number);
    }
    return requests;
}

bool ServingCore::hasRunOn(const EndpointId &endpoint) const
{
    return std::ranges::any_of(m_requests, [&endpoint](const auto &entry) {
        return entry.second.runs.includes(endpoint);
    });
}

void ServingCore::restartStreamsOf(const EndpointId &endpoint, Instant now)
{
    for (const RequestNumber number : requestsOn(endpoint)) {
        RequestRecord &record = m_requests.at(number);
        const auto attempt =
                std::ranges::find(record.runningAttempts, endpoint, &RunningAttempt::endpoint);
        if (record.isStream() && record.isIdempotent() && !attempt->isBeingReplaced())
            restartOnAnotherEndpoint(record, true, now);
    }
}

// Streams that were kept on a silent endpoint, since no further run was allowed, may have another
// one once the endpoint of an earlier run is known to have ended.
void ServingCore::restartKeptStreams(const EndpointId &endedEndpoint, Instant now)
{
    if (evidenceOfEnd(endedEndpoint, m_context, now) == EndEvidence::None)
        return;
    std::vector<RequestNumber> kept;
    for (const auto &[number, record] : m_requests) {
        const bool isOnSilentEndpoints =
                std::ranges::all_of(record.runningAttempts, [&](const RunningAttempt &attempt) {
                    return m_context.endpointHealth.unansweredTime(attempt.endpoint)
                            > Duration::zero();
                });
        if (record.isStream() && record.isIdempotent() && isOnSilentEndpoints
            && record.runs.includes(endedEndpoint))
            kept.push_back(number);
    }
    for (const RequestNumber number : kept)
        restartOnAnotherEndpoint(m_requests.at(number), true, now);
}

void ServingCore::giveUpRunsOf(const EndpointId &endpoint, Instant now)
{
    for (const RequestNumber number : requestsOn(endpoint)) {
        RequestRecord &record = m_requests.at(number);
        const auto running =
                std::ranges::find(record.runningAttempts, endpoint, &RunningAttempt::endpoint);
        const RunningAttempt attempt = *running;
        record.runningAttempts.erase(running);
        record.mayHaveRun = true;
        record.avoidedEndpoints.insert(endpoint);
        m_launcher.recordEnd(record, attempt, EndpointVerdict::Failed, now);
        m_context.traffic.cancelAttempt(number, attempt.number);
        handleFailure(record,
                      {.request = number,
                       .attempt = attempt.number,
                       .result = AttemptResult::Interrupted,
                       .reason = "the endpoint has ended"},
                      now);
    }
}

void ServingCore::restartOnAnotherEndpoint(RequestRecord &record, bool isRepeat, Instant now)
{
    if (!mayRetry(record, now))
        return;
    // If there is no place, the running attempts are kept, since their endpoint may recover.
    const std::optional<Placement> placement = m_launcher.place(record, now);
    if (!placement || (isRepeat && !m_context.repeatBudget.tryConsume(record.service->name, now)))
        return;
    ++record.repeats;
    m_launcher.startReplacement(record, *placement, now);
    reschedule(record);
}

void ServingCore::evacuateLeavingEndpoints(Instant now)
{
    for (const Evacuation &evacuation :
         dueEvacuations(m_requests, m_context.endpoints, m_context.limits.drainTime, now)) {
        const auto entry = m_requests.find(evacuation.request);
        if (entry == m_requests.end())
            continue;
        RequestRecord &record = entry->second;
        if (evacuation.kind == Evacuation::Kind::Restart) {
            restartOnAnotherEndpoint(record, true, now);
            continue;
        }
        const auto attempt = std::ranges::find(record.runningAttempts, evacuation.attempt,
                                               &RunningAttempt::number);
        if (attempt != record.runningAttempts.end())
            requestMove(record, *attempt, now);
    }
}

void ServingCore::requestMove(RequestRecord &record, RunningAttempt &attempt, Instant now)
{
    const std::optional<Placement> target = m_launcher.placeMovedRun(record, now);
    const Endpoint *source = m_context.endpoints.find(attempt.endpoint);
    if (!target || source == nullptr)
        return;
    m_context.endpointLimits.recordUse(target->endpoint, now);
    attempt.moveState = RunningAttempt::MoveState::Requested;
    attempt.moveTarget = target->endpoint;
    record.stopOrders.recordOrder(attempt.number, attempt.endpoint, now);
    m_context.log.write(LogLevel::Info, "run-moving", record.arrival.callerId,
                        {{"attempt", toLog(attempt.number)},
                         {"from", attempt.endpoint.view()},
                         {"to", target->endpoint.view()}});
    m_context.traffic.moveRun(
            {.request = record.arrival.number,
             .attempt = attempt.number,
             .source = source->id,
             .sourceAddress = source->listing.address,
             .targetAddress = m_context.endpoints.find(target->endpoint)->listing.address,
             .deadline = now + moveTimeout});
}

void ServingCore::handleMoveEnd(const RunMoveEnd &end, Instant now)
{
    const auto entry = m_requests.find(end.request);
    if (entry == m_requests.end())
        return;
    RequestRecord &record = entry->second;
    record.stopOrders.recordAnswer(end.attempt, end.result, now);
    const auto attempt =
            std::ranges::find(record.runningAttempts, end.attempt, &RunningAttempt::number);
    if (attempt == record.runningAttempts.end()
        || attempt->moveState != RunningAttempt::MoveState::Requested)
        return;
    const bool isMoved = end.result == RunMoveResult::Moved;
    if (!isMoved) {
        m_context.log.write(LogLevel::Warning, "run-not-moved", record.arrival.callerId,
                            {{"attempt", toLog(end.attempt)}, {"reason", end.reason}});
    }
    if (isMoved || end.result == RunMoveResult::Stopped) {
        // If the KV cache is only at the source, the run continues there while the source exists.
        if (!isMoved)
            attempt->moveTarget = attempt->endpoint;
        attempt->moveState = RunningAttempt::MoveState::Completed;
        attempt->movedCache = {.kind = CacheSource::Kind::Moved,
                               .address =
                                       m_context.endpoints.find(attempt->endpoint)->listing.address,
                               .handle = end.handle};
        attempt->oldStreamDeadline = now + movedStreamTimeout;
        if (attempt->hasStreamEnded)
            continueMovedRun(record, end.attempt, now);
        else
            reschedule(record);
        return;
    }
    attempt->moveState = RunningAttempt::MoveState::None;
    if (!attempt->hasStreamEnded)
        return;
    if (attempt->closedStream) {
        handleAttemptEnd(AttemptEnd(*attempt->closedStream), now);
        return;
    }
    const RunningAttempt ended = *attempt;
    record.runningAttempts.erase(attempt);
    record.mayHaveRun = true;
    record.avoidedEndpoints.insert(ended.endpoint);
    handleFailure(record,
                  {.request = end.request,
                   .attempt = end.attempt,
                   .result = AttemptResult::Interrupted,
                   .reason = end.reason},
                  now);
}

void ServingCore::continueMovedRun(RequestRecord &record, AttemptNumber number, Instant now)
{
    const auto running = std::ranges::find(record.runningAttempts, number, &RunningAttempt::number);
    const RunningAttempt attempt = *running;
    record.runningAttempts.erase(running);
    if (!attempt.hasStreamEnded) {
        m_launcher.recordEnd(record, attempt, EndpointVerdict::Inconclusive, now);
        m_context.traffic.cancelAttempt(record.arrival.number, number);
    }
    record.mayHaveRun = true;
    const MoveOrigin origin{
            .attempt = number, .endpoint = attempt.endpoint, .cache = attempt.movedCache};
    const bool isElsewhere = attempt.moveTarget != attempt.endpoint;
    const std::string_view obstacle = obstacleToMovedRun(record, attempt.moveTarget, now);
    if (!obstacle.empty()) {
        if (isElsewhere && returnToSource(record, origin, false, now))
            return;
        handleFailure(record,
                      {.request = record.arrival.number,
                       .attempt = number,
                       .result = AttemptResult::Interrupted,
                       .reason = std::string(obstacle)},
                      now);
        return;
    }
    m_launcher.startAttempt(record,
                            {.endpoint = attempt.moveTarget,
                             .cache = attempt.movedCache,
                             .movedFrom = number,
                             .isReserved = isElsewhere},
                            now);
    if (isElsewhere)
        record.runningAttempts.back().movedFrom = origin;
    reschedule(record);
}

std::string_view ServingCore::obstacleToMovedRun(const RequestRecord &record,
                                                 const EndpointId &endpoint, Instant now)
{
    const Endpoint *target = m_context.endpoints.find(endpoint);
    if (target == nullptr)
        return "the target of the move is no longer known";
    // A run that can't be repeated has nowhere else to go.
    if (record.isIdempotent() && isDrained(*target, m_context.limits.drainTime, now))
        return "the target of the move has left";
    if (!m_context.endpointHealth.admitUnavoidableRun(endpoint, now))
        return "the target of the move is closed";
    return {};
}

// The source keeps the KV cache of a run that it has stopped, until that is used.
bool ServingCore::returnToSource(RequestRecord &record, const MoveOrigin &origin, bool isRepeat,
                                 Instant now)
{
    const Endpoint *source = m_context.endpoints.find(origin.endpoint);
    if (!record.runningAttempts.empty() || mayRetry(record, now) || source == nullptr
        || isDrained(*source, m_context.limits.drainTime, now)
        || !m_context.endpointLimits.mayUse(source->id, now)
        || !m_context.endpointHealth.admitUnavoidableRun(source->id, now)
        || (isRepeat && !m_context.repeatBudget.tryConsume(record.service->name, now)))
        return false;
    m_launcher.startAttempt(
            record, {.endpoint = source->id, .cache = origin.cache, .movedFrom = origin.attempt},
            now);
    reschedule(record);
    return true;
}

} // namespace monsoonsail
