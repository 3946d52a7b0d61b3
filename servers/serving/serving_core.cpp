#include "servers/serving/serving_core.h"

#include "servers/serving/evacuation.h"
#include "servers/serving/request_admission.h"
#include "servers/serving/run_allowance.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Time after which a request that found no endpoint should be sent again. The list of endpoints is
/// updated about twice a second.
constexpr Duration noEndpointRetryDelay = std::chrono::milliseconds(500);
/// Time after which a request that endpoints declined should be sent again. Endpoints complete a
/// few other requests in this time.
constexpr Duration overloadedRetryDelay = std::chrono::milliseconds(250);
/// A further attempt with less time left until the deadline would not be answered in time.
constexpr Duration minRemainingTime = std::chrono::milliseconds(5);
/// Limit on the attempts after the first; more would only spread a failure to other endpoints.
constexpr unsigned maxRepeats = 4;
/// Part of the response goal after which a hedge, a second attempt beside the first, is started.
constexpr int hedgeDelayPercent = 40;
constexpr int firstSuccessStatus = 200;
constexpr int firstRedirectStatus = 300;
constexpr int firstServerErrorStatus = 500;

std::string_view accountName(const RequestRecord &record)
{
    return record.account != nullptr ? record.account->name.view() : std::string_view();
}

} // namespace

ServingCore::ServingCore(ServingContext &context)
    : m_context(context)
    , m_launcher(context)
{ }

void ServingCore::handleArrival(const RequestArrival &arrival, Instant now)
{
    RequestRecord &record = m_requests[arrival.number];
    record.arrival = arrival;
    record.lastEvent = arrival.resumeAfter;
    const AdmissionDecision decision = admitRequest(record, m_context, now);
    if (decision.error != ErrorKind::None) {
        refuse(record, decision.error, decision.retryAt, "not admitted", now);
        return;
    }
    m_context.repeatBudget.recordRequest(record.service->name, now);
    record.isSampledForTrial = m_context.rolloutTraffic.sample(record.service->name);
    if (record.isTakeUp())
        findOrigin(record, now);
    else
        startFirstAttempt(record, now);
}

void ServingCore::startFirstAttempt(RequestRecord &record, Instant now)
{
    const auto placement = m_launcher.place(record, now);
    if (!placement)
        endUnplaced(record, now);
    else if (const auto retryAt = m_launcher.refuseForPlaces(record, *placement, now))
        refuse(record, ErrorKind::Overloaded, retryAt, "places are short", now);
    else
        startAttempt(record, *placement, now);
}

void ServingCore::startAttempt(RequestRecord &record, const Placement &placement, Instant now)
{
    const bool mayHedge = record.route->kind == RequestKind::Safe && record.repeats == 0
            && record.route->maxAttempts > 1;
    if (mayHedge)
        record.hedgeAt = now + record.route->responseGoal * hedgeDelayPercent / 100;
    m_launcher.startAttempt(record, placement, now);
    reschedule(record);
}

void ServingCore::endUnplaced(RequestRecord &record, Instant now)
{
    const auto openingTime = m_launcher.nextOpeningTime(record, now);
    if (openingTime && !record.mayHaveRun && !record.isStreaming)
        refuse(record, ErrorKind::Overloaded, openingTime, "all endpoints are closed or limited",
               now);
    else
        giveUp(record, ErrorKind::NoEndpoint, "no endpoint", now);
}

void ServingCore::startHedge(RequestRecord &record, Instant now)
{
    record.hedgeAt = Instant::max();
    const auto placement = m_launcher.place(record, now);
    if (!placement || record.avoidedEndpoints.contains(placement->endpoint)
        || record.runs.count() >= record.route->maxAttempts || isQuarantined(record)
        || !m_context.repeatBudget.tryConsume(record.service->name, now)) {
        reschedule(record);
        return;
    }
    ++record.repeats;
    m_launcher.startAttempt(record, *placement, now);
    reschedule(record);
}

void ServingCore::handleCallerDisconnect(RequestNumber request, Instant now)
{
    const auto entry = m_requests.find(request);
    if (entry == m_requests.end())
        return;
    RequestRecord &record = entry->second;
    m_context.log.write(LogLevel::Detail, "caller-gone", record.arrival.callerId,
                        {{"running", toLog(record.runningAttempts.size())}});
    if (!record.runningAttempts.empty() && !record.isStream())
        recordUsage(record, record.runningAttempts.front().startedAt);
    m_launcher.cancelAll(record, EndpointVerdict::Inconclusive, now);
    m_context.traffic.finishRequest(request);
    erase(record);
}

void ServingCore::handleProgress(std::span<const StreamProgress> streams, Instant now)
{
    for (const StreamProgress &progress : streams) {
        const auto entry = m_requests.find(progress.request);
        if (entry == m_requests.end())
            continue;
        RequestRecord &record = entry->second;
        if (std::exchange(record.isStreaming, true)) {
            record.longestPause =
                    std::max(record.longestPause, progress.firstEventAt - record.lastEventAt);
        } else {
            record.firstEventAt = progress.firstEventAt;
            recordBegin(record, progress.attempt);
        }
        record.longestPause = std::max(record.longestPause, progress.longestPause);
        record.lastEventAt = progress.lastEventAt;
        if (progress.lastEvent)
            record.lastEvent = progress.lastEvent;
        recordUsage(record, progress.lastEventAt);
        const auto attempt = std::ranges::find(record.runningAttempts, progress.attempt,
                                               &RunningAttempt::number);
        if (attempt == record.runningAttempts.end())
            continue;
        recordEvents(record, *attempt, progress, now);
        m_context.rolloutEvidence.recordEvents(progress.attempt, progress.events,
                                               progress.firstEventAt, progress.lastEventAt);
        m_context.endpointHealth.recordStreamEvent(progress.attempt, progress.lastEventAt);
        m_context.placerFor(*record.service).recordProgress(progress.attempt, progress.events, now);
    }
}

void ServingCore::handleAttemptEnd(const AttemptEnd &reported, Instant now)
{
    const auto entry = m_requests.find(reported.request);
    if (entry == m_requests.end())
        return;
    RequestRecord &record = entry->second;
    const auto running =
            std::ranges::find(record.runningAttempts, reported.attempt, &RunningAttempt::number);
    if (running == record.runningAttempts.end()) {
        // It was cancelled while its answer was passed on, so the caller has it.
        if (reported.result == AttemptResult::Streamed)
            handleSuccess(record, reported, now);
        return;
    }
    if (running->moveState != RunningAttempt::MoveState::None
        && (reported.result == AttemptResult::Interrupted
            || reported.result == AttemptResult::ClosedAfterStopOrder)) {
        handleMovingStreamEnd(record, *running, reported, now);
        return;
    }
    AttemptEnd end = reported;
    if (end.result == AttemptResult::ClosedAfterStopOrder)
        judgeClosedStream(record, *running, end, now);
    const RunningAttempt attempt = *running;
    record.runningAttempts.erase(running);
    if (end.lastEvent)
        record.lastEvent = end.lastEvent;
    const bool isAnswer =
            end.result == AttemptResult::Answered && end.status < firstServerErrorStatus;
    // A buffered answer can't follow events that the caller has.
    const bool isSuccess =
            end.result == AttemptResult::Streamed || (isAnswer && !record.isStreaming);
    const bool didNotRun = end.result == AttemptResult::NotSent
            || end.result == AttemptResult::Declined || end.result == AttemptResult::Misdirected;
    EndpointVerdict verdict = didNotRun ? EndpointVerdict::Refused : EndpointVerdict::Failed;
    if (isSuccess || isAnswer)
        verdict = EndpointVerdict::Succeeded;
    else if (reported.result == AttemptResult::ClosedAfterStopOrder)
        verdict = EndpointVerdict::Inconclusive;
    m_launcher.recordEnd(record, attempt, verdict, now);
    const std::string parts = isSuccess ? std::string() : partNames(record.sharedPromptParts());
    m_context.log.write(isSuccess ? LogLevel::Detail : LogLevel::Warning, "attempt-ended",
                        record.arrival.callerId,
                        {{"attempt", toLog(attempt.number)},
                         {"endpoint", attempt.endpoint.view()},
                         {"result", attemptResultName(end.result)},
                         {"status", static_cast<std::int64_t>(end.status)},
                         {"reason", end.reason},
                         {"framing", answerFramingName(end.framing)},
                         {"stop_orders", record.stopOrders.toLog(now)},
                         {"reused", end.connectionReused},
                         {"run_ms", toMs(now - attempt.startedAt)},
                         {"had_events", attempt.hasEvents},
                         {"shared_parts", parts}});
    m_context.metrics.recordAttempt(record.service->name.view(), end.result);
    if (end.wasTooLong)
        m_context.metrics.recordTooLongAnswer(record.service->name.view());
    const bool hasAnswered = end.result == AttemptResult::Answered
            || end.result == AttemptResult::Streamed || end.result == AttemptResult::Declined;
    if (hasAnswered) {
        m_context.promptQuarantine.recordActivity(attempt.endpoint, now);
        m_context.endpointHealth.recordAnswer(attempt.endpoint);
    }
    if (end.closedUntil && *end.closedUntil > now) {
        m_context.log.write(
                LogLevel::Info, "endpoint-closed", record.arrival.callerId,
                {{"endpoint", attempt.endpoint.view()}, {"for_ms", toMs(*end.closedUntil - now)}});
        m_context.endpointHealth.closeUntil(attempt.endpoint, *end.closedUntil);
    }
    if (end.result == AttemptResult::Misdirected)
        m_context.endpoints.markLeaving(attempt.endpoint, now);
    if (didNotRun) {
        record.runs.withdraw(attempt.number);
    } else {
        record.mayHaveRun = true;
        // The usage of a stream was recorded at its first event, unless its answer was lost before.
        recordUsage(record, end.sentAt);
    }
    if (isSuccess) {
        const bool isWhole = end.status >= firstSuccessStatus && end.status < firstRedirectStatus;
        if (attempt.hasEvents || isWhole)
            recordSoundRun(record, now);
        handleSuccess(record, end, now);
        return;
    }
    if (end.result == AttemptResult::Interrupted && end.wasDisconnected)
        recordCrash(record, attempt, now);
    record.avoidedEndpoints.insert(attempt.endpoint);
    const bool wasReceived = end.result != AttemptResult::NotSent;
    if (didNotRun && attempt.movedFrom
        && returnToSource(record, *attempt.movedFrom, wasReceived, now))
        return;
    handleFailure(record, end, now);
}

void ServingCore::handleEndpointLeaving(const EndpointId &endpoint, Instant now)
{
    m_context.endpoints.markLeaving(endpoint, now);
}

void ServingCore::handleSuccess(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    const Instant first = record.isStreaming ? record.firstEventAt : now;
    m_context.answerTimes.record(record.route->name, now - record.arrival.arrivedAt);
    m_context.log.write(LogLevel::Detail, "request-answered", record.arrival.callerId,
                        {{"route", record.route->name},
                         {"status", static_cast<std::int64_t>(end.status)},
                         {"first_ms", toMs(first - record.arrival.arrivedAt)},
                         {"total_ms", toMs(now - record.arrival.arrivedAt)},
                         {"longest_pause_ms", toMs(record.longestPause)},
                         {"repeats", toLog(record.repeats)},
                         {"prompt_tokens", toLog(record.arrival.promptTokens.value_or(0))}});
    m_context.metrics.recordAnswer(record.route->name, accountName(record),
                                   first - record.arrival.arrivedAt,
                                   now - record.arrival.arrivedAt);
    if (record.isStreaming)
        m_context.metrics.recordLongestPause(record.route->name, record.longestPause);
    m_launcher.cancelAll(record, EndpointVerdict::Inconclusive, now);
    if (end.result == AttemptResult::Streamed)
        m_context.traffic.finishRequest(end.request);
    else
        m_context.traffic.deliverAnswer(end.request, end.attempt);
    erase(record);
}

void ServingCore::handleFailure(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    if (end.result == AttemptResult::Answered)
        record.failureAnswerAttempt = end.attempt;
    // Another attempt of the request is still running: a hedge, the attempt that was hedged, or one
    // that this one was to replace.
    if (!record.runningAttempts.empty()) {
        if (record.runningAttempts.back().isBeingReplaced())
            handleFailedReplacement(record, end, now);
        return;
    }
    if (!mayRetry(record, now)) {
        giveUp(record, ErrorKind::Overloaded, "no further attempt is allowed", now);
        return;
    }
    const auto placement = m_launcher.place(record, now);
    if (!placement) {
        endUnplaced(record, now);
        return;
    }
    // If nothing was sent to the endpoint, the next attempt is no repeat from its point of view.
    if (end.result != AttemptResult::NotSent
        && !m_context.repeatBudget.tryConsume(record.service->name, now)) {
        giveUp(record, ErrorKind::Overloaded, "the repeat budget is used up", now);
        return;
    }
    ++record.repeats;
    startAttempt(record, *placement, now);
}

void ServingCore::handleFailedReplacement(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    record.runningAttempts.back().keptUntil = Instant::max();
    restartOnAnotherEndpoint(record, end.result != AttemptResult::NotSent, now);
}

bool ServingCore::mayRetry(const RequestRecord &record, Instant now) const
{
    if (record.repeats >= maxRepeats || record.deadline - now < minRemainingTime
        || (!record.isStreaming && isQuarantined(record) && !isUnspentTrial(record)))
        return false;
    if (!record.mayHaveRun && record.runningAttempts.empty())
        return true;
    return record.isIdempotent() && record.runs.count() < runAllowance(record, m_context, now).runs;
}

void ServingCore::giveUp(RequestRecord &record, ErrorKind errorIfNotRun, std::string_view cause,
                         Instant now)
{
    if (record.failureAnswerAttempt != 0 && !record.isStreaming) {
        m_context.log.write(LogLevel::Warning, "failure-passed-on", record.arrival.callerId,
                            {{"attempt", toLog(record.failureAnswerAttempt)}, {"cause", cause}});
        m_context.metrics.recordRefusal(accountName(record), ErrorKind::EndpointFailed);
        m_context.traffic.deliverAnswer(record.arrival.number, record.failureAnswerAttempt);
        erase(record);
        return;
    }
    if (record.isStreaming) {
        refuse(record, ErrorKind::AnswerInterrupted, std::nullopt, cause, now);
        return;
    }
    if (record.mayHaveRun) {
        refuse(record, ErrorKind::EndpointFailed, std::nullopt, cause, now);
        return;
    }
    const Duration retryDelay =
            errorIfNotRun == ErrorKind::NoEndpoint ? noEndpointRetryDelay : overloadedRetryDelay;
    refuse(record, errorIfNotRun, now + retryDelay, cause, now);
}

void ServingCore::refuse(RequestRecord &record, ErrorKind kind, std::optional<Instant> retryAt,
                         std::string_view cause, Instant now)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    m_context.log.write(
            LogLevel::Warning, "request-refused", record.arrival.callerId,
            {{"kind", answer.name},
             {"cause", cause},
             {"account", accountName(record)},
             {"host", record.arrival.host},
             {"path", record.arrival.path},
             {"revision", toLog(record.configuration ? record.configuration->revision() : 0)},
             {"configuration_age_ms", toMs(now - m_context.configurationAsOf)},
             {"behind_ms", toMs(m_context.configurationBehindFor(now))},
             {"endpoints_age_ms", toMs(now - m_context.endpointsAsOf)}});
    m_context.metrics.recordRefusal(accountName(record), kind);
    if (!record.mayHaveRun && record.account != nullptr)
        m_context.allowances.refund(record.account->name, record.charge, now);
    m_context.traffic.refuse({.request = record.arrival.number, .kind = kind, .retryAt = retryAt});
    erase(record);
}

void ServingCore::handleDueRequests(Instant now)
{
    while (const auto request = m_deadlines.dueRequest(now))
        handleDueRequest(m_requests.at(*request), now);
}

void ServingCore::handleDueRequest(RequestRecord &record, Instant now)
{
    if (record.deadline > now && record.originDueAt <= now) {
        refuseTakeUp(record, {.ground = OriginGround::StoreUnreachable}, now);
        return;
    }
    if (record.deadline > now) {
        m_launcher.cancelReplaced(record, now);
        const auto movedAttempt =
                std::ranges::find_if(record.runningAttempts, [now](const auto &attempt) {
                    return attempt.moveState == RunningAttempt::MoveState::Completed
                            && attempt.oldStreamDeadline <= now;
                });
        if (movedAttempt != record.runningAttempts.end())
            continueMovedRun(record, movedAttempt->number, now);
        else if (record.hedgeAt <= now)
            startHedge(record, now);
        else
            reschedule(record);
        return;
    }
    if (!record.runningAttempts.empty()) {
        record.mayHaveRun = true;
        if (!record.isStream())
            recordUsage(record, record.runningAttempts.front().startedAt);
    }
    m_launcher.cancelAll(record, EndpointVerdict::Failed, now);
    if (!record.mayHaveRun)
        refuse(record, ErrorKind::Overloaded, std::nullopt, "deadline", now);
    else
        refuse(record, ErrorKind::DeadlineExceeded, std::nullopt, "deadline", now);
}

void ServingCore::recordUsage(RequestRecord &record, Instant at)
{
    if (record.account != nullptr && !std::exchange(record.isMetered, true))
        m_context.usageMeter.countRequest(record.account->name, at);
}

void ServingCore::reschedule(RequestRecord &record)
{
    Instant next = std::min({record.deadline, record.hedgeAt, record.originDueAt});
    for (const RunningAttempt &attempt : record.runningAttempts) {
        if (attempt.moveState == RunningAttempt::MoveState::Completed)
            next = std::min(next, attempt.oldStreamDeadline);
        next = std::min(next, attempt.keptUntil);
    }
    m_deadlines.reschedule(record.arrival.number, record.queueTime, next);
    record.queueTime = next;
}

void ServingCore::erase(RequestRecord &record)
{
    const RequestNumber number = record.arrival.number;
    m_context.promptQuarantine.endTrial(number);
    m_deadlines.remove(number, record.queueTime);
    m_requests.erase(number);
}

} // namespace monsoonsail
