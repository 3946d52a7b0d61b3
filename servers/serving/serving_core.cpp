#include "servers/serving/serving_core.h"

#include "servers/serving/evacuation.h"
#include "servers/serving/request_admission.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// When a request that found no endpoint is worth sending again: endpoints are listed anew about
/// twice a second.
constexpr Duration noEndpointRetry = std::chrono::milliseconds(500);
/// When a request that endpoints declined is worth sending again: a few answers later.
constexpr Duration overloadedRetry = std::chrono::milliseconds(250);
/// An attempt with less time left is not worth its start.
constexpr Duration leastUsefulTime = std::chrono::milliseconds(5);
/// Attempts after the first; more would only spread trouble.
constexpr unsigned maxRepeats = 4;
/// Runs beyond the route's attempts that may follow runs whose endpoints have ended.
constexpr unsigned maxRunsAfterEnds = 1;
/// Part of the time to the goal after which a second attempt starts beside the first.
constexpr int hedgePercent = 40;
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

void ServingCore::arrived(const RequestArrival &arrival, Instant now)
{
    RequestRecord &record = m_requests[arrival.number];
    record.arrival = arrival;
    record.lastEvent = arrival.resumeAfter;
    const AdmissionVerdict verdict = admitRequest(record, m_context, now);
    if (verdict.error != ErrorKind::None) {
        refuse(record, verdict.error, verdict.retryAt, "not admitted", now);
        return;
    }
    m_context.repeats.arrived(record.service->name, now);
    start(record, now);
}

void ServingCore::start(RequestRecord &record, Instant now)
{
    const std::optional<Placement> placement = m_launcher.place(record, now);
    if (!placement) {
        const auto opensAt = m_launcher.opensAt(record, now);
        if (opensAt && !record.mayHaveRun && !record.isStreaming)
            refuse(record, ErrorKind::Overloaded, opensAt, "all endpoints are closed", now);
        else
            giveUp(record, ErrorKind::NoEndpoint, "no endpoint", now);
        return;
    }
    const bool mayHedge = record.route->kind == RequestKind::Safe && record.repeats == 0
            && record.route->maxAttempts > 1;
    if (mayHedge)
        record.hedgeAt = now + record.route->responseGoal * hedgePercent / 100;
    m_launcher.begin(record, *placement, now);
    schedule(record);
}

void ServingCore::hedge(RequestRecord &record, Instant now)
{
    record.hedgeAt = Instant::max();
    const auto placement = m_launcher.place(record, now);
    if (!placement || record.avoided.contains(placement->endpoint)
        || record.runs >= record.route->maxAttempts
        || !m_context.repeats.take(record.service->name, now)) {
        schedule(record);
        return;
    }
    ++record.repeats;
    m_launcher.begin(record, *placement, now);
    schedule(record);
}

void ServingCore::callerGone(RequestNumber request, Instant now)
{
    const auto entry = m_requests.find(request);
    if (entry == m_requests.end())
        return;
    RequestRecord &record = entry->second;
    m_context.log.write(LogLevel::Detail, "caller-gone", record.arrival.callerId,
                        {{"running", toLog(record.running.size())}});
    if (!record.running.empty() && !record.isStream())
        meter(record, record.running.front().startedAt);
 m_launcher.stopAll(record, EndpointVerdict::Inconclusive, now); m_context.traffic.finishRequest(request);
    erase(record);
}

void ServingCore::progressed(std::span<const StreamProgress> streams, Instant now)
{
    for (const StreamProgress &progress : streams) {
        const auto entry = m_requests.find(progress.request);
        if (entry == m_requests.end())
            continue;
        RequestRecord &record = entry->second;
        if (!std::exchange(record.isStreaming, true))
            record.firstEventAt = progress.firstEventAt;
        else
            record.longestPause =
                    std::max(record.longestPause, progress.firstEventAt - record.lastEventAt);
        record.longestPause = std::max(record.longestPause, progress.longestPause);
        record.lastEventAt = progress.lastEventAt;
        record.lastEvent = progress.lastEvent;
        meter(record, progress.lastEventAt);
        const auto attempt =
                std::ranges::find(record.running, progress.attempt, &RunningAttempt::number);
        if (attempt == record.running.end())
            continue;
        attempt->hasEvents = true;
        m_context.watch.recordStreamEvent(progress.attempt, progress.lastEventAt);
        m_context.placerFor(*record.service).progressed(progress.attempt, progress.events, now);
    }
}

void ServingCore::ended(const AttemptEnd &end, Instant now)
{
    const auto entry = m_requests.find(end.request);
    if (entry == m_requests.end())
        return;
    RequestRecord &record = entry->second;
    const auto running = std::ranges::find(record.running, end.attempt, &RunningAttempt::number);
    if (running == record.running.end())
        return;
    if (running->move != RunningAttempt::Move::None && end.result == AttemptResult::Interrupted) {
        // The engine has stopped the run to move its memory.
        running->hasEnded = true;
        m_launcher.ended(record, *running, EndpointVerdict::Inconclusive, now);
        if (end.lastEvent)
            record.lastEvent = end.lastEvent;
        if (running->move == RunningAttempt::Move::Done)
            continueMoved(record, end.attempt, now);
        return;
    }
    const RunningAttempt attempt = *running;
    record.running.erase(running);
    if (end.lastEvent)
        record.lastEvent = end.lastEvent;
    const bool isSuccess = end.result == AttemptResult::Streamed
            || (end.result == AttemptResult::Answered && end.status < firstServerErrorStatus);
    const bool didNotRun = end.result == AttemptResult::NotSent
            || end.result == AttemptResult::Declined || end.result == AttemptResult::Misdirected;
    EndpointVerdict verdict = didNotRun ? EndpointVerdict::Refused : EndpointVerdict::Failed;
    if (isSuccess)
        verdict = EndpointVerdict::Succeeded;
    m_launcher.ended(record, attempt, verdict, now);
    m_context.log.write(isSuccess ? LogLevel::Detail : LogLevel::Warning, "attempt-ended",
                        record.arrival.callerId,
                        {{"attempt", toLog(attempt.number)},
                         {"endpoint", attempt.endpoint.view()},
                         {"result", attemptResultName(end.result)},
                         {"status", static_cast<std::int64_t>(end.status)},
                         {"reason", end.reason},
                         {"reused", end.connectionReused}});
    m_context.metrics.recordAttempt(record.service->name.view(), end.result);
    if (end.closedUntil && *end.closedUntil > now) {
        m_context.log.write(
                LogLevel::Info, "endpoint-closed", record.arrival.callerId,
                {{"endpoint", attempt.endpoint.view()}, {"for_ms", toMs(*end.closedUntil - now)}});
        m_context.watch.closeUntil(attempt.endpoint, *end.closedUntil);
    }
    if (end.result == AttemptResult::Misdirected)
        m_context.endpoints.markLeaving(attempt.endpoint, now);
    if (didNotRun) {
        --record.runs;
    } else {
        record.mayHaveRun = true;
        // A stream begins to run with its first event.
        if (!record.isStream() || end.result == AttemptResult::Streamed)
            meter(record, end.sentAt);
    }
    if (isSuccess) {
        succeeded(record, end, now);
        return;
    }
    record.avoided.insert(attempt.endpoint);
    failed(record, attempt, end, now);
}

void ServingCore::endpointLeaves(const EndpointId &endpoint, Instant now)
{
    m_context.endpoints.markLeaving(endpoint, now);
}

void ServingCore::succeeded(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    const Instant first = record.isStreaming ? record.firstEventAt : now;
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
 m_context.metrics.recordLongestPause(record.route->name, record.longestPause); m_launcher.stopAll(record, EndpointVerdict::Inconclusive, now);
    if (end.result == AttemptResult::Streamed)
        m_context.traffic.finishRequest(end.request);
    else
        m_context.traffic.deliverAnswer(end.request, end.attempt);
    erase(record);
}

void ServingCore::failed(RequestRecord &record, const RunningAttempt &attempt,
                         const AttemptEnd &end, Instant now)
{
    if (end.result == AttemptResult::Answered)
        record.failureAnswer = end.attempt;
    const Endpoint *endpoint = m_context.endpoints.find(attempt.endpoint);
    if (end.result == AttemptResult::Interrupted
        && (endpoint == nullptr || !endpoint->isUsable(now)))
        ++record.endedRuns;
    // A hedge, or the attempt that was hedged, goes on.
    if (!record.running.empty())
        return;
    if (!mayTryAgain(record, now)) {
        giveUp(record, ErrorKind::Overloaded, "no further attempt", now);
        return;
    }
    // An attempt that left nothing at an endpoint is no repeat for it.
    if (end.result != AttemptResult::NotSent
        && !m_context.repeats.take(record.service->name, now)) {
        giveUp(record, ErrorKind::Overloaded, "no repeat left in the budget", now);
        return;
    }
    ++record.repeats;
    start(record, now);
}

bool ServingCore::mayTryAgain(const RequestRecord &record, Instant now) const
{
    if (record.repeats >= maxRepeats || record.answerBy - now < leastUsefulTime)
        return false;
    if (!record.mayHaveRun)
        return true;
    const unsigned allowed =
            record.route->maxAttempts + std::min(record.endedRuns, maxRunsAfterEnds);
    return record.isIdempotent() && record.runs < allowed;
}

void ServingCore::giveUp(RequestRecord &record, ErrorKind ifNotRun, std::string_view cause,
                         Instant now)
{
    if (record.failureAnswer != 0 && !record.isStreaming) {
        m_context.log.write(LogLevel::Warning, "failure-passed-on", record.arrival.callerId,
                            {{"attempt", toLog(record.failureAnswer)}, {"cause", cause}});
        m_context.metrics.recordRefusal(accountName(record), ErrorKind::EndpointFailed);
        m_context.traffic.deliverAnswer(record.arrival.number, record.failureAnswer);
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
    const Duration pause = ifNotRun == ErrorKind::NoEndpoint ? noEndpointRetry : overloadedRetry;
    refuse(record, ifNotRun, now + pause, cause, now);
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
             {"endpoints_age_ms", toMs(now - m_context.endpointsAsOf)}});
    m_context.metrics.recordRefusal(accountName(record), kind);
    if (!record.mayHaveRun && record.account != nullptr)
        m_context.allowances.refund(record.account->name, record.charge, now);
    m_context.traffic.refuse({.request = record.arrival.number, .kind = kind, .retryAt = retryAt});
    erase(record);
}

void ServingCore::expire(Instant now)
{
    while (const auto request = m_deadlines.due(now))
        expireRequest(m_requests.at(*request), now);
}

void ServingCore::expireRequest(RequestRecord &record, Instant now)
{
    if (record.answerBy > now) {
        const auto moved = std::ranges::find_if(record.running, [now](const auto &attempt) {
            return attempt.move == RunningAttempt::Move::Done && attempt.moveDeadline <= now;
        });
        if (moved != record.running.end())
            continueMoved(record, moved->number, now);
        else if (record.hedgeAt <= now)
            hedge(record, now);
        else
            schedule(record);
        return;
    }
    if (!record.running.empty()) {
        record.mayHaveRun = true;
        if (!record.isStream())
            meter(record, record.running.front().startedAt);
    }
    m_launcher.stopAll(record, EndpointVerdict::Failed, now);
    if (!record.mayHaveRun)
        refuse(record, ErrorKind::Overloaded, std::nullopt, "deadline", now);
    else
        refuse(record, ErrorKind::DeadlineExceeded, std::nullopt, "deadline", now);
}

void ServingCore::meter(RequestRecord &record, Instant at)
{
    if (record.account != nullptr && !std::exchange(record.isMetered, true))
        m_context.meter.began(record.account->name, at);
}

void ServingCore::schedule(RequestRecord &record)
{
    Instant next = std::min(record.answerBy, record.hedgeAt);
    for (const RunningAttempt &attempt : record.running) {
        if (attempt.move == RunningAttempt::Move::Done)
            next = std::min(next, attempt.moveDeadline);
    }
    m_deadlines.move(record.arrival.number, record.dueAt, next);
    record.dueAt = next;
}

void ServingCore::erase(RequestRecord &record)
{
    const RequestNumber number = record.arrival.number;
    m_deadlines.remove(number, record.dueAt);
    m_requests.erase(number);
}

} // namespace monsoonsail
