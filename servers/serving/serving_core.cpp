#include "servers/serving/serving_core.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace monsoonsail {

namespace {

/// A connection attempt that takes longer goes to another endpoint; a lost packet alone costs a
/// second.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
/// When a request that found no endpoint is worth sending again: endpoints are listed anew about
/// twice a second.
constexpr Duration noEndpointRetry = std::chrono::milliseconds(500);
constexpr Duration notReadyRetry = std::chrono::milliseconds(300);
/// An attempt with less time left is not worth its start.
constexpr Duration leastUsefulTime = std::chrono::milliseconds(5);
/// Attempts that did not run are repeated at most so often.
constexpr unsigned maxRepeats = 4;
/// An idle connection that a request may not be lost on must have been used this recently.
constexpr Duration certainIdle = std::chrono::milliseconds(900);

constexpr int firstServerErrorStatus = 500;
/// Events that a stream's caller can't tell from a pause of the endpoint.
constexpr std::uint32_t defaultOutputTokens = 128;

bool mayHaveReached(AttemptResult result)
{
    return result == AttemptResult::Interrupted || result == AttemptResult::Answered
            || result == AttemptResult::Streamed;
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
    const ErrorKind error = admit(record, now);
    if (error != ErrorKind::None) {
        giveUp(record, error, now);
        return;
    }
    chooseService(record);
    if (record.service == nullptr) {
        giveUp(record, ErrorKind::NoEndpoint, now);
        return;
    }
    m_context.repeats.arrived(record.service->name, now);
    start(record, now);
}

ErrorKind ServingCore::admit(RequestRecord &record, Instant now) const
{
    if (m_context.refusesNew)
        return ErrorKind::Stopping;
    record.configuration = m_context.configuration;
    if (!record.configuration)
        return ErrorKind::NotReady;
    const RequestArrival &arrival = record.arrival;
    // An old configuration may lack what has been added since.
    const bool isFresh = m_context.isConfigurationFresh(now);
    record.route = record.configuration->findRoute(arrival.host, arrival.path);
    if (record.route == nullptr)
        return isFresh ? ErrorKind::NotFound : ErrorKind::NotReady;
    if (!record.route->isPublic) {
        record.account = record.configuration->findAccount(arrival.apiKey);
        if (record.account == nullptr)
            return isFresh ? ErrorKind::Unauthenticated : ErrorKind::NotReady;
    }
    record.answerBy = arrival.arrivedAt + record.route->timeout;
    if (arrival.callerDeadline)
        record.answerBy = std::min(record.answerBy, *arrival.callerDeadline);
    return record.answerBy - now < leastUsefulTime ? ErrorKind::Overloaded : ErrorKind::None;
}

void ServingCore::chooseService(RequestRecord &record)
{
    const std::vector<ServiceShare> &split = record.route->split;
    std::uint64_t total = 0;
    for (const ServiceShare &share : split)
        total += share.weight;
    if (total == 0)
        return;
    std::uint64_t pick = m_context.random.below(total);
    for (const ServiceShare &share : split) {
        if (pick < share.weight) {
            record.service = record.configuration->findService(share.service);
            return;
        }
        pick -= share.weight;
    }
}

std::optional<Placement> ServingCore::place(const RequestRecord &record, Instant now)
{
    std::vector<const Endpoint *> fresh;
    std::vector<const Endpoint *> avoided;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        if (endpoint.state != EndpointState::Ready
            || endpoint.listing.service != record.service->name)
            continue;
        const bool isRunning = std::ranges::any_of(record.running, [&id](const auto &attempt) {
            return attempt.endpoint == id;
        });
        if (!isRunning)
            (record.avoided.contains(id) ? avoided : fresh).push_back(&endpoint);
    }
    const RequestArrival &arrival = record.arrival;
    const PlacementRequest request{.service = record.service,
                                   .promptTokens = arrival.promptTokens.value_or(0),
                                   .outputTokens = arrival.expectedOutputTokens > 0
                                           ? arrival.expectedOutputTokens
                                           : std::max(arrival.maxOutputTokens, defaultOutputTokens),
                                   .parts = arrival.promptParts,
                                   .isRepeat = record.repeats > 0};
    const std::vector<const Endpoint *> &candidates = fresh.empty() ? avoided : fresh;
    return m_context.placer->place(request, candidates, now);
}

void ServingCore::start(RequestRecord &record, Instant now)
{
    const std::optional<Placement> placement = place(record, now);
    if (!placement) {
        giveUp(record, ErrorKind::NoEndpoint, now);
        return;
    }
    begin(record, *placement, false, now);
}

void ServingCore::begin(RequestRecord &record, const Placement &placement, bool isHedge,
                        Instant now)
{
    const Endpoint &endpoint = *m_context.endpoints.find(placement.endpoint);
    const AttemptNumber number = ++m_lastAttempt;
    record.running.push_back({.number = number,
                              .endpoint = endpoint.id,
                              .startedAt = now,
                              .lastProgress = now,
                              .isHedge = isHedge});
    ++record.runs;
    const RequestArrival &arrival = record.arrival;
    const PlacementRequest request{.service = record.service,
                                   .promptTokens = arrival.promptTokens.value_or(0),
                                   .outputTokens = arrival.maxOutputTokens,
                                   .parts = arrival.promptParts};
    m_context.placer->started(number, request, endpoint.id, now);
    const std::optional<unsigned> accountPriority =
            record.account != nullptr ? record.account->priority : std::nullopt;
    std::optional<unsigned> urgency;
    if (record.service->engine)
        urgency = accountPriority.value_or(record.route->priority);
    m_context.log.write(LogLevel::Detail, "attempt-started", arrival.callerId,
                        {{"attempt", static_cast<std::int64_t>(number)},
                         {"endpoint", endpoint.id.view()},
                         {"run", static_cast<std::int64_t>(record.runs)},
                         {"hedge", isHedge}});
    m_context.traffic.start({.request = arrival.number,
                             .attempt = number,
                             .endpoint = endpoint.id,
                             .address = endpoint.listing.address,
                             .instance = endpoint.listing.instance,
                             .account = record.account != nullptr ? record.account->name
                                                                  : AccountId(),
                             .urgency = urgency,
                             .resumeAfter = record.lastEvent,
                             .cache = placement.cache,
                             .isStream = record.isStream(),
                             .idleSince = record.isIdempotent() ? Instant::min()
                                                                : now - certainIdle,
                             .connectDeadline = std::min(now + connectTimeout, record.answerBy),
                             .deadline = record.answerBy});
    schedule(record);
}

void ServingCore::callerGone(RequestNumber request, Instant now)
{
    const auto entry = m_requests.find(request);
    if (entry == m_requests.end())
        return;
    RequestRecord &record = entry->second;
    m_context.log.write(LogLevel::Detail, "caller-gone", record.arrival.callerId,
                        {{"running", static_cast<std::int64_t>(record.running.size())}});
    cancelRunning(record, EndpointVerdict::Unrelated, now);
    m_context.traffic.finish(request);
    erase(request);
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
        for (RunningAttempt &attempt : record.running) {
            if (attempt.number != progress.attempt)
                continue;
            attempt.events += progress.events;
            attempt.lastProgress = progress.lastEventAt;
            m_context.placer->progressed(attempt.number, progress.events, now);
        }
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
    if (end.lastEvent)
        record.lastEvent = end.lastEvent;
    const bool isSuccess = end.result == AttemptResult::Streamed
            || (end.result == AttemptResult::Answered && end.status < firstServerErrorStatus);
    EndpointVerdict verdict = isSuccess ? EndpointVerdict::Good : EndpointVerdict::Failed;
    if (end.result == AttemptResult::NotSent || end.result == AttemptResult::Declined)
        verdict = EndpointVerdict::Refused;
    m_context.placer->ended(attempt.number, verdict, now);
    m_context.log.write(isSuccess ? LogLevel::Detail : LogLevel::Warning, "attempt-ended",
                        record.arrival.callerId,
                        {{"attempt", static_cast<std::int64_t>(attempt.number)},
                         {"endpoint", attempt.endpoint.view()},
                         {"result", attemptResultName(end.result)},
                         {"status", static_cast<std::int64_t>(end.status)},
                         {"reason", end.reason},
                         {"reused", end.connectionReused}});
    if (mayHaveReached(end.result))
        record.mayHaveRun = true;
    else
        --record.runs;
    if (end.result == AttemptResult::Misdirected)
        m_context.endpoints.leaving(attempt.endpoint, now);
    if (isSuccess) {
        answered(record, attempt, end, now);
        return;
    }
    record.avoided.insert(attempt.endpoint);
    failed(record, end, now);
}

void ServingCore::answered(RequestRecord &record, const RunningAttempt &attempt,
                           const AttemptEnd &end, Instant now)
{
    cancelRunning(record, EndpointVerdict::Unrelated, now);
    if (end.result == AttemptResult::Streamed)
        m_context.traffic.finish(end.request);
    else
        m_context.traffic.deliver(end.request, attempt.number);
    erase(end.request);
}

void ServingCore::failed(RequestRecord &record, const AttemptEnd &end, Instant now)
{
    // A hedge, or the attempt that was hedged, goes on.
    if (!record.running.empty())
        return;
    if (end.result == AttemptResult::Answered)
        record.failureAnswer = end.attempt;
    if (!mayTryAgain(record, mayHaveReached(end.result), now)) {
        if (record.failureAnswer != 0) {
            m_context.traffic.deliver(end.request, record.failureAnswer);
            erase(end.request);
            return;
        }
        const ErrorKind unknown = record.isStreaming ? ErrorKind::AnswerInterrupted
                                                     : ErrorKind::EndpointFailed;
        giveUp(record, record.mayHaveRun ? unknown : ErrorKind::NoEndpoint, now);
        return;
    }
    // An attempt that left nothing at an endpoint is no repeat for it.
    if (end.result != AttemptResult::NotSent && !m_context.repeats.take(record.service->name, now)) {
        m_context.log.write(LogLevel::Warning, "repeat-refused", record.arrival.callerId,
                            {{"service", record.service->name.view()}});
        if (record.failureAnswer != 0) {
            m_context.traffic.deliver(end.request, record.failureAnswer);
            erase(end.request);
            return;
        }
        giveUp(record, record.mayHaveRun ? ErrorKind::EndpointFailed : ErrorKind::Overloaded, now);
        return;
    }
    ++record.repeats;
    start(record, now);
}

bool ServingCore::mayTryAgain(const RequestRecord &record, bool mayHaveRun, Instant now) const
{
    if (record.repeats >= maxRepeats || record.answerBy - now < leastUsefulTime)
        return false;
    if (!mayHaveRun && !record.mayHaveRun)
        return true;
    return record.isIdempotent() && record.runs < record.route->attempts;
}

void ServingCore::giveUp(RequestRecord &record, ErrorKind kind, Instant now)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    m_context.log.write(LogLevel::Warning, "request-refused", record.arrival.callerId,
                        {{"kind", answer.name},
                         {"revision", static_cast<std::int64_t>(
                                              m_context.configuration
                                                      ? m_context.configuration->revision()
                                                      : 0)}});
    std::optional<Instant> retryAt;
    if (answer.retryable)
        retryAt = now + (kind == ErrorKind::NoEndpoint ? noEndpointRetry : notReadyRetry);
    const RequestNumber number = record.arrival.number;
    m_context.traffic.refuse({.request = number, .kind = kind, .retryAt = retryAt});
    erase(number);
}

void ServingCore::expire(Instant now)
{
    while (const auto request = m_deadlines.due(now))
        expireRequest(m_requests.at(*request), now);
}

void ServingCore::expireRequest(RequestRecord &record, Instant now)
{
    if (record.answerBy <= now) {
        const bool mayHaveRun = record.mayHaveRun || !record.running.empty();
        cancelRunning(record, EndpointVerdict::Failed, now);
        giveUp(record, mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::Overloaded, now);
        return;
    }
    schedule(record);
}

void ServingCore::cancelRunning(RequestRecord &record, EndpointVerdict verdict, Instant now)
{
    for (const RunningAttempt &attempt : record.running) {
        m_context.placer->ended(attempt.number, verdict, now);
        m_context.traffic.cancel(record.arrival.number, attempt.number);
    }
    record.running.clear();
}

void ServingCore::schedule(RequestRecord &record)
{
    const Instant next = std::min({record.answerBy, record.hedgeAt, record.recheckAt});
    m_deadlines.move(record.arrival.number, record.dueAt, next);
    record.dueAt = next;
}

void ServingCore::erase(RequestNumber request)
{
    const auto entry = m_requests.find(request);
    m_deadlines.remove(request, entry->second.dueAt);
    m_requests.erase(entry);
}

} // namespace monsoonsail
