#include "servers/placement/service_placer.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Answer time that is assumed until one is known. Only its ratio to the other costs matters.
constexpr double defaultAnswerMs = 20;
/// Additional cost of an endpoint in another availability zone: a round trip between zones.
constexpr double otherZoneCostMs = 1.5;
/// Limit on the random part of the cost that spreads requests over endpoints of equal cost.
constexpr double tieBreakFraction = 0.1;
/// The same with learned speeds, on which all instances agree: with a small random part, they sent
/// to the same endpoint until their digests showed its load.
constexpr double learnedTieBreakFraction = 2.5;
/// Ratio of the answer time of a cold endpoint to that of a warm one.
constexpr double coldFactor = 1.6;
/// High enough to choose a suspect endpoint only if all endpoints are suspect.
constexpr double suspectCostMs = 10'000;
/// A failure costs at least another attempt, and the answer itself if no other attempt is allowed.
constexpr double failureCostMs = 200;

// Endpoints become slower when they are nearly full and queue requests beyond their slots.
double costPerLoad(double load)
{
    return 1 + load + load * load * load * 2;
}

} // namespace

ServicePlacer::ServicePlacer(ZoneId zone, const EndpointHealthTracker &endpointHealth,
                             std::uint64_t seed, std::unique_ptr<AnswerSpeeds> speeds)
    : m_zone(std::move(zone))
    , m_endpointHealth(endpointHealth)
    , m_random(seed)
    , m_speeds(std::move(speeds))
{ }

std::optional<Placement> ServicePlacer::place(const PlacementRequest &request,
                                              std::span<const Endpoint *const> candidates,
                                              Instant now)
{
    m_peerLoads.expire(now);
    if (m_speeds)
        m_speeds->update(now);
    const Endpoint *best = nullptr;
    double leastCost = 0;
    for (const Endpoint *endpoint : candidates) {
        const double candidateCost = cost(request, *endpoint, now);
        if (best == nullptr || candidateCost < leastCost) {
            best = endpoint;
            leastCost = candidateCost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return Placement{.endpoint = best->id, .expectedFirstByteAt = now};
}

double ServicePlacer::cost(const PlacementRequest &request, const Endpoint &endpoint, Instant now)
{
    const double knownMs = m_speeds
            ? m_speeds->answerMs(endpoint.id, request.service->name, request.route, now)
            : toMs(m_endpointHealth.typicalAnswerTime(endpoint.id));
    double answerMs = knownMs > 0 ? knownMs : defaultAnswerMs;
    if (endpoint.listing.coldUntil > now)
        answerMs *= coldFactor;
    const double load = runningRequests(endpoint.id) / endpoint.listing.slots;
    double result = answerMs * costPerLoad(load);
    result += failureCostMs * m_endpointHealth.failureRate(endpoint.id, now);
    if (endpoint.listing.zone != m_zone)
        result += otherZoneCostMs;
    if (m_endpointHealth.isSuspect(endpoint.id, now))
        result += suspectCostMs;
    const double spread = m_speeds ? learnedTieBreakFraction : tieBreakFraction;
    return result * (1 + spread * m_random.fraction());
}

void ServicePlacer::recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                                       const Placement &placement, Instant now)
{
    if (m_speeds)
        m_speeds->beginRun(attempt, placement.endpoint, request.service->name, request.route, now);
    m_attemptEndpoints[attempt] = placement.endpoint;
    ++m_runningRequests[placement.endpoint];
}

void ServicePlacer::recordProgress(AttemptNumber /*attempt*/, std::uint32_t /*events*/,
                                   Instant /*now*/)
{ }

void ServicePlacer::recordAnswer(AttemptNumber attempt, Instant now)
{
    if (m_speeds)
        m_speeds->endRun(attempt, true, now);
}

void ServicePlacer::recordAttemptEnd(AttemptNumber attempt, Instant now)
{
    if (m_speeds)
        m_speeds->endRun(attempt, false, now);
    const auto entry = m_attemptEndpoints.find(attempt);
    if (entry == m_attemptEndpoints.end())
        return;
    const auto running = m_runningRequests.find(entry->second);
    if (running != m_runningRequests.end() && --running->second == 0)
        m_runningRequests.erase(running);
    m_attemptEndpoints.erase(entry);
}

void ServicePlacer::removeEndpoint(const EndpointId &endpoint)
{
    m_runningRequests.erase(endpoint);
    if (m_speeds)
        m_speeds->remove(endpoint);
}

void ServicePlacer::applyPeerDigest(const Peer &peer, Instant now)
{
    m_peerLoads.applyPeerDigest(peer);
    if (m_speeds)
        m_speeds->applyPeerDigest(peer, now);
}

std::vector<Digest::EndpointSpeed> ServicePlacer::takeUnsentSpeeds(std::size_t maxCount)
{
    return m_speeds ? m_speeds->takeUnsent(maxCount) : std::vector<Digest::EndpointSpeed>();
}

double ServicePlacer::runningRequests(const EndpointId &endpoint) const
{
    const auto own = m_runningRequests.find(endpoint);
    const unsigned ownRunning = own == m_runningRequests.end() ? 0 : own->second;
    return static_cast<double>(ownRunning + m_peerLoads.loadOf(endpoint).running);
}

std::vector<Digest::EndpointLoad> ServicePlacer::ownLoads(Instant now) const
{
    std::vector<Digest::EndpointLoad> loads;
    for (const auto &[endpoint, running] : m_runningRequests) {
        loads.push_back({.endpoint = endpoint,
                         .running = running,
                         .isSuspect = m_endpointHealth.isSuspectLocally(endpoint, now)});
    }
    return loads;
}

} // namespace monsoonsail
