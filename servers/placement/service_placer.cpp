#include "servers/placement/service_placer.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Time to an answer before any is known, in ms. Only its relation to the other terms matters.
constexpr double defaultTimeMs = 20;
/// What an endpoint in another availability zone costs more: two trips between zones, in ms.
constexpr double otherZoneMs = 1.5;
/// Choices that are equally good spread over the endpoints by this part of their cost.
constexpr double spread = 0.1;
/// A cold endpoint takes about this much longer.
constexpr double coldFactor = 1.6;
/// A suspect endpoint is chosen only if all are.
constexpr double suspectCostMs = 10'000;
/// Failures cost another try at least, and the whole answer if no other try is allowed.
constexpr double failureCostMs = 200;

} // namespace

ServicePlacer::ServicePlacer(ZoneId zone, const EndpointHealthTracker &watch, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_watch(watch)
    , m_random(seed)
{ }

std::optional<Placement> ServicePlacer::place(const PlacementRequest & /*request*/,
                                              std::span<const Endpoint *const> candidates,
                                              Instant now)
{
    m_peers.expire(now);
    const Endpoint *best = nullptr;
    double least = 0;
    for (const Endpoint *endpoint : candidates) {
        const double candidateCost = cost(*endpoint, now);
        if (best == nullptr || candidateCost < least) {
            best = endpoint;
            least = candidateCost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return Placement{.endpoint = best->id, .expectedStart = now};
}

double ServicePlacer::cost(const Endpoint &endpoint, Instant now)
{
    const double usual = toMs(m_watch.typicalAnswerTime(endpoint.id));
    double time = usual > 0 ? usual : defaultTimeMs;
    if (endpoint.listing.coldUntil > now)
        time *= coldFactor;
    const double load = running(endpoint.id) / endpoint.listing.slots;
    // Endpoints slow down when they are nearly full, and queue beyond.
    double result = time * (1 + load + load * load * load * 2);
    result += failureCostMs * m_watch.failureRate(endpoint.id, now);
    if (endpoint.listing.zone != m_zone)
        result += otherZoneMs;
    if (m_watch.isSuspect(endpoint.id, now))
        result += suspectCostMs;
    return result * (1 + spread * m_random.fraction());
}

void ServicePlacer::started(AttemptNumber attempt, const PlacementRequest & /*request*/,
                            const Placement &placement, Instant /*now*/)
{
    m_attempts[attempt] = placement.endpoint;
    ++m_running[placement.endpoint];
}

void ServicePlacer::progressed(AttemptNumber /*attempt*/, std::uint32_t /*events*/, Instant /*now*/)
{ }

void ServicePlacer::ended(AttemptNumber attempt, Instant /*now*/)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end())
        return;
    const auto running = m_running.find(entry->second);
    if (running != m_running.end() && --running->second == 0)
        m_running.erase(running);
    m_attempts.erase(entry);
}

void ServicePlacer::peerReported(const Peer &peer, Instant /*now*/)
{
    m_peers.reported(peer);
}

double ServicePlacer::running(const EndpointId &endpoint) const
{
    const auto own = m_running.find(endpoint);
    const unsigned ownRunning = own == m_running.end() ? 0 : own->second;
    return static_cast<double>(ownRunning + m_peers.of(endpoint).running);
}

std::vector<Digest::EndpointLoad> ServicePlacer::loads(Instant now) const
{
    std::vector<Digest::EndpointLoad> loads;
    for (const auto &[endpoint, running] : m_running) {
        loads.push_back({.endpoint = endpoint,
                         .running = running,
                         .isSuspect = m_watch.isSuspectLocally(endpoint, now)});
    }
    return loads;
}

} // namespace monsoonsail
