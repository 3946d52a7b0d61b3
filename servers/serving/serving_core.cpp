#include "servers/serving/serving_core.h"

#include "servers/serving/request_admission.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// A connection attempt that takes longer goes to another endpoint; a lost packet alone costs a
/// second.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
/// When a request that found no endpoint is worth sending again: endpoints are listed anew about
/// twice a second.
constexpr Duration noEndpointRetry = std::chrono::milliseconds(500);
/// When a request that endpoints declined is worth sending again: a few answers later.
constexpr Duration overloadedRetry = std::chrono::milliseconds(250);
/// An attempt with less time left is not worth its start.
constexpr Duration leastUsefulTime = std::chrono::milliseconds(5);
/// Attempts after the first; more would only spread trouble.
constexpr unsigned maxRepeats = 4;
/// Runs beyond the route's attempts that follow attempts that broke off: as a rule their endpoint
/// has ended, and such runs don't count.
constexpr unsigned maxRunsAfterBreaks = 1;
/// An idle connection that a request may not be lost on must have been used this recently.
constexpr Duration certainIdle = std::chrono::milliseconds(900);
/// Part of the time to the goal after which a second attempt starts beside the first.
constexpr int hedgePercent = 40;
/// Output of a stream whose caller gives no estimate.
constexpr std::uint32_t usualOutputTokens = 128;
constexpr int firstServerErrorStatus = 500;

PlacementRequest placementRequest(const RequestRecord &record)
{
    const RequestArrival &arrival = record.arrival;
    return {.service = record.service,
            .promptTokens = arrival.promptTokens.value_or(0),
            .outputTokens = arrival.expectedOutputTokens > 0
                    ? arrival.expectedOutputTokens
                    : std::min(arrival.maxOutputTokens, usualOutputTokens),
            .parts = arrival.promptParts,
            .goalAt = arrival.arrivedAt + record.route->responseGoal};
}

std::int64_t toLog(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

} // namespace

ServingCore::ServingCore(ServingContext &context)
    : m_context(context)
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

std::vector<const Endpoint *> ServingCore::candidates(const RequestRecord &record,
                                                      Instant now) const
{
    std::vector<const Endpoint *> untried;
    std::vector<const Endpoint *> tried;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        if (endpoint.listing.service != record.service->name || !endpoint.isUsable(now))
            continue;
        const bool isRunning =
                std::ranges::find(record.running, id, &RunningAttempt::endpoint)
                != record.running.end();
        if (!isRunning)
            (record.avoided.contains(id) ? tried : untried).push_back(&endpoint);
    }
    return untried.empty() ? tried : untried;
}

std::optional<Placement> ServingCore::place(const RequestRecord &record, Instant now)
{
    Placer &placer = m_context.placerFor(*record.service);
    return placer.place(placementRequest(record), candidates(record, now), now);
}

void ServingCore::start(RequestRecord &record, Instant now)
{
    const std::optional<Placement> placement = place(record, now);
    if (!placement) {
        giveUp(record, ErrorKind::NoEndpoint, "no endpoint", now);
        return;
    }
    const bool mayHedge = record.route->kind == RequestKind::Safe && record.repeats == 0
            && record.route->attempts > 1;
    if (mayHedge)
        record.hedgeAt = now + record.route->responseGoal * hedgePercent / 100;
    begin(record, *placement, now);
}

void ServingCore::begin(RequestRecord &record, const Placement &placement, Instant now)
{
    const Endpoint &endpoint = *m_context.endpoints.find(placement.endpoint);
    const AttemptNumber number = ++m_lastAttempt;
    record.running.push_back({.number = number, .endpoint = endpoint.id, .startedAt = now});
    ++record.runs;
    m_context.watch.started(number, endpoint.id, record.isStream(), now);
    m_context.placerFor(*record.service)
            .started(number, placementRequest(record), placement, now);
    const RequestArrival &arrival = record.arrival;
    std::optional<unsigned> urgency;
    if (record.service->engine) {
        urgency = record.route->priority;
        if (record.account != nullptr && record.account->priority)
            urgency = record.account->priority;
    }
    m_context.log.write(LogLevel::Detail, "attempt-started", arrival.callerId,
                        {{"attempt", toLog(number)},
                         {"endpoint", endpoint.id.view()},
                         {"run", toLog(record.runs)},
                         {"uncached_tokens", toLog(placement.uncachedTokens)},
                         {"revision", toLog(record.configuration->revision())}});
    m_context.traffic.start(
            {.request = arrival.number,
             .attempt = number,
             .endpoint = endpoint.id,
             .address = endpoint.listing.address,
             .instance = endpoint.listing.instance,
             .account = record.account != nullptr ? record.account->name : AccountId(),
             .urgency = urgency,
             .resumeAfter = record.lastEvent,
             .cache = placement.cache,
             .isStream = record.isStream(),
             .idleSince = record.isIdempotent() ? Instant::min() : now - certainIdle,
             .connectDeadline = std::min(now + connectTimeout, record.answerBy),
             .deadline = record.answerBy});
    schedule(record);
}

void ServingCore::hedge(RequestRecord &record, Instant now)
{
    record.hedgeAt = Instant::max();
    const auto placement = place(record, now);
    if (!placement || record.avoided.contains(placement->endpoint)
        || record.runs >= record.route->attempts
        || !m_context.repeats.take(record.service->name, now)) {
        schedule(record);
        return;
    }
    ++record.repeats;
    begin(record, *placement, now);
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
    stopAll(record, EndpointVerdict::Unrelated, now);
    m_context.traffic.finish(request);
    erase(record);
}

void ServingCore::progressed(std::span<const StreamProgress> streams, Instant now)
{
    for (const StreamProgress &progress : streams) {
        const auto entry = m_requests.find(progress.request);
        if (entry == m_requests.end())
            continue;
        RequestRecord &record = entry->second;
        record.isStreaming = true;
        record.lastEvent = progress.lastEvent;
        meter(record, progress.lastEventAt);
        const auto attempt =
                std::ranges::find(record.running, progress.attempt, &RunningAttempt::number);
        if (attempt == record.running.end())
            continue;
        attempt->hasEvents = true;
        m_context.watch.progressed(progress.attempt, progress.lastEventAt);
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
    const RunningAttempt attempt = *running;
    record.running.erase(running);
    const bool isSuccess = end.result == AttemptResult::Streamed
            || (end.result == AttemptResult::Answered && end.status < firstServerErrorStatus);
    const bool didNotRun = end.result == AttemptResult::NotSent
            || end.result == AttemptResult::Declined || end.result == AttemptResult::Misdirected;
    EndpointVerdict verdict = didNotRun ? EndpointVerdict::Refused : EndpointVerdict::Failed;
    if (isSuccess)
        verdict = EndpointVerdict::Good;
    m_context.watch.ended(attempt.number, verdict, now);
    m_context.placerFor(*record.service).ended(attempt.number, now);
    m_context.log.write(isSuccess ? LogLevel::Detail : LogLevel::Warning, "attempt-ended",
                        record.arrival.callerId,
                        {{"attempt", toLog(attempt.number)},
                         {"endpoint", attempt.endpoint.view()},
                         {"result", attemptResultName(end.result)},
                         {"status", static_cast<std::int64_t>(end.status)},
                         {"reason", end.reason},
                         {"reused", end.connectionReused}});
    if (end.result == AttemptResult::Misdirected)
        m_context.endpoints.leaving(attempt.endpoint, now);
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
    failed(record, end, now);
}

void ServingCore::succeeded(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    stopAll(record, EndpointVerdict::Unrelated, now);
    if (end.result == AttemptResult::Streamed)
        m_context.traffic.finish(end.request);
    else
        m_context.traffic.deliver(end.request, end.attempt);
    erase(record);
}

void ServingCore::failed(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    if (end.result == AttemptResult::Answered)
        record.failureAnswer = end.attempt;
    if (end.result == AttemptResult::Interrupted)
        ++record.breaks;
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
            record.route->attempts + std::min(record.breaks, maxRunsAfterBreaks);
    return record.isIdempotent() && record.runs < allowed;
}

void ServingCore::giveUp(RequestRecord &record, ErrorKind ifNotRun, std::string_view cause,
                         Instant now)
{
    if (record.failureAnswer != 0) {
        m_context.log.write(LogLevel::Warning, "failure-passed-on", record.arrival.callerId,
                            {{"attempt", toLog(record.failureAnswer)}, {"cause", cause}});
        m_context.traffic.deliver(record.arrival.number, record.failureAnswer);
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
             {"account", record.account != nullptr ? record.account->name.view()
                                                   : std::string_view()},
             {"revision", toLog(record.configuration ? record.configuration->revision() : 0)}});
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
        if (record.hedgeAt <= now)
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
    stopAll(record, EndpointVerdict::Failed, now);
    if (!record.mayHaveRun)
        refuse(record, ErrorKind::Overloaded, std::nullopt, "deadline", now);
    else
        refuse(record, ErrorKind::DeadlineExceeded, std::nullopt, "deadline", now);
}

void ServingCore::moveFromSilent(Instant now)
{
    const std::vector<EndpointId> silent = m_context.watch.takeSilent(now);
    if (silent.empty())
        return;
    for (const EndpointId &endpoint : silent) {
        m_context.log.write(LogLevel::Warning, "endpoint-silent", {},
                            {{"endpoint", endpoint.view()}});
    }
    std::vector<RequestNumber> affected;
    for (const auto &[number, record] : m_requests) {
        const bool runsThere = std::ranges::any_of(record.running, [&](const auto &attempt) {
            return std::ranges::find(silent, attempt.endpoint) != silent.end();
        });
        if (runsThere && record.isStream() && record.isIdempotent())
            affected.push_back(number);
    }
    for (const RequestNumber number : affected) {
        RequestRecord &record = m_requests.at(number);
        record.mayHaveRun = true;
        ++record.breaks;
        // Without another attempt the endpoint may still come back.
        if (!mayTryAgain(record, now) || !m_context.repeats.take(record.service->name, now))
            continue;
        ++record.repeats;
        for (const RunningAttempt &attempt : record.running)
            record.avoided.insert(attempt.endpoint);
        stopAll(record, EndpointVerdict::Failed, now);
        start(record, now);
    }
}

void ServingCore::stop(RequestRecord &record, const RunningAttempt &attempt,
                       EndpointVerdict verdict, Instant now)
{
    m_context.watch.ended(attempt.number, verdict, now);
    m_context.placerFor(*record.service).ended(attempt.number, now);
    m_context.traffic.cancel(record.arrival.number, attempt.number);
}

void ServingCore::stopAll(RequestRecord &record, EndpointVerdict verdict, Instant now)
{
    for (const RunningAttempt &attempt : std::exchange(record.running, {}))
        stop(record, attempt, verdict, now);
}

void ServingCore::meter(RequestRecord &record, Instant at)
{
    if (record.account != nullptr && !std::exchange(record.isMetered, true))
        m_context.meter.began(record.account->name, at);
}

void ServingCore::schedule(RequestRecord &record)
{
    const Instant next = std::min(record.answerBy, record.hedgeAt);
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
