#include "servers/costs/answer_speeds.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Answer time that is assumed until one is known.
constexpr double defaultAnswerMs = 20;
/// Number of answers over which the time of a route is averaged.
constexpr double maxAveragedAnswers = 50;
/// Shorter answer times say nothing about the speed of the endpoint.
constexpr double minAnswerMs = 2;
/// A larger deviation from what is expected has another cause than the endpoint's speed.
constexpr double maxDeviation = 1.4;
constexpr Duration updateInterval = std::chrono::milliseconds(200);
constexpr Duration overdueCheckInterval = std::chrono::milliseconds(20);
/// An answer is overdue after this factor times the expected time, and this time more.
constexpr double overdueFactor = 1.5;
constexpr double overdueMarginMs = 10;
/// Reports of peers that send digests at longer intervals are too old to show a short slowdown.
constexpr Duration maxShortTermInterval = std::chrono::milliseconds(700);
constexpr double maxReportedWeight = 5;
constexpr std::size_t maxRoutes = 1024;

} // namespace

double AnswerSpeeds::typicalMs(std::string_view route) const
{
    const auto entry = m_routes.find(route);
    return entry == m_routes.end() || entry->second.count == 0 ? defaultAnswerMs
                                                               : std::exp(entry->second.logMs);
}

double AnswerSpeeds::answerMs(EndpointHash endpoint, ServiceHash service, std::string_view route,
                              Instant now)
{
    EndpointSpeed &known = m_endpoints[endpoint];
    known.service = service;
    return typicalMs(route) * known.factor * known.slowness.factor(now);
}

void AnswerSpeeds::update(Instant now)
{
    if (m_updatedAt == Instant::min() || m_updatedAt + updateInterval <= now) {
        m_updatedAt = now;
        updateFactors(now);
    }
    if (m_checkedAt == Instant::min() || m_checkedAt + overdueCheckInterval <= now) {
        m_checkedAt = now;
        checkOverdueRuns(now);
    }
}

void AnswerSpeeds::updateFactors(Instant now)
{
    std::unordered_map<ServiceHash, SpeedEvidence> typical;
    for (const auto &[hash, endpoint] : m_endpoints) {
        const SpeedEvidence known = endpoint.answering.current(now);
        SpeedEvidence &service = typical[endpoint.service];
        // An endpoint counts once, however many requests it gets.
        const double share = known.weight / (known.weight + 1);
        service.weight += share;
        service.logRatio += share * known.logRatio;
    }
    for (auto &[hash, endpoint] : m_endpoints) {
        const SpeedEvidence &service = typical[endpoint.service];
        endpoint.factor =
                speedFactor(endpoint.answering.current(now),
                            service.logRatio / std::max(1.0, service.weight), endpoint.factor);
    }
}

void AnswerSpeeds::checkOverdueRuns(Instant now)
{
    for (const auto &[attempt, run] : m_runs) {
        const double waitedMs = toMs(now - run.startedAt);
        const auto endpoint = m_endpoints.find(run.endpoint);
        if (endpoint == m_endpoints.end()
            || waitedMs < overdueFactor * run.expectedMs + overdueMarginMs)
            continue;
        endpoint->second.slowness.raise(std::min(std::log(waitedMs / run.expectedMs), maxDeviation),
                                        now);
    }
}

void AnswerSpeeds::beginRun(AttemptNumber attempt, EndpointHash endpoint, const ServiceId &service,
                            std::string_view route, Instant now)
{
    m_runs[attempt] = {.endpoint = endpoint,
                       .service = service,
                       .route = std::string(route),
                       .startedAt = now,
                       .expectedMs = answerMs(endpoint, service, route, now)};
}

void AnswerSpeeds::endRun(AttemptNumber attempt, bool isWhole, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    const Run run = entry->second;
    m_runs.erase(entry);
    const auto endpoint = m_endpoints.find(run.endpoint);
    const double tookMs = toMs(now - run.startedAt);
    if (!isWhole || tookMs <= 0 || endpoint == m_endpoints.end())
        return;
    m_errors.recordEnd(run.service.view(), run.route, run.expectedMs, tookMs);
    EndpointSpeed &known = endpoint->second;
    const double logMs = std::log(std::max(minAnswerMs, tookMs));
    if (m_routes.size() >= maxRoutes && !m_routes.contains(run.route))
        m_routes.clear();
    RouteTime &route = m_routes[run.route];
    if (route.count > 0) {
        const double deviation = std::clamp(logMs - route.logMs, -maxDeviation, maxDeviation);
        known.answering.add({.logRatio = deviation, .weight = 1}, now);
        known.slowness.add({.logRatio = deviation - std::log(known.factor), .weight = 1}, now);
    }
    route.count = std::min(route.count + 1, maxAveragedAnswers);
    route.logMs += (logMs - std::log(known.factor) - route.logMs) / route.count;
}

void AnswerSpeeds::applyPeerDigest(const Peer &peer, Instant now)
{
    for (const Digest::EndpointSpeed &report : peer.digest.endpointSpeeds) {
        const auto entry = m_endpoints.find(report.endpoint);
        if (entry == m_endpoints.end() || report.readingWeight <= 0)
            continue;
        EndpointSpeed &known = entry->second;
        const SpeedEvidence evidence{
                .logRatio = std::clamp(report.readingLogRatio, -maxDeviation, maxDeviation),
                .weight = std::min(report.readingWeight, maxReportedWeight)};
        if (peer.digest.interval <= maxShortTermInterval) {
            known.slowness.add({.logRatio = evidence.logRatio - std::log(known.factor),
                                .weight = evidence.weight},
                               now);
        }
        known.answering.addReported(evidence, now);
    }
}

std::vector<Digest::EndpointSpeed> AnswerSpeeds::takeUnsent(std::size_t maxCount)
{
    std::vector<EndpointHash> unsent;
    for (const auto &[hash, endpoint] : m_endpoints) {
        if (endpoint.answering.hasUnsent())
            unsent.push_back(hash);
    }
    // Begins behind the last one sent, so that each gets its turn.
    std::ranges::sort(unsent);
    std::rotate(unsent.begin(), std::ranges::upper_bound(unsent, m_lastSent), unsent.end());
    unsent.resize(std::min(maxCount, unsent.size()));
    std::vector<Digest::EndpointSpeed> speeds;
    for (const EndpointHash hash : unsent) {
        const SpeedEvidence evidence = m_endpoints.at(hash).answering.takeUnsent();
        speeds.push_back({.endpoint = hash,
                          .readingLogRatio = evidence.logRatio,
                          .readingWeight = evidence.weight});
        m_lastSent = hash;
    }
    return speeds;
}

} // namespace monsoonsail
