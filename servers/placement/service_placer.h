#pragma once

#include "core/random_source.h"
#include "servers/endpoints/endpoint_health_tracker.h"
#include "servers/placement/peer_loads.h"
#include "servers/placement/placer.h"

#include <map>

namespace monsoonsail {

/// Places requests on plain services: where the answer is expected soonest, by the usual time, the
/// requests that run there and the failures seen there.
class ServicePlacer : public Placer
{
public:
    /// `zone` is that of this instance. `watch` must outlive the placer.
    ServicePlacer(ZoneId zone, const EndpointHealthTracker &watch, std::uint64_t seed);

    std::optional<Placement> place(const PlacementRequest &request,
                                   std::span<const Endpoint *const> candidates,
                                   Instant now) override;
    void started(AttemptNumber attempt, const PlacementRequest &request, const Placement &placement,
                 Instant now) override;
    void progressed(AttemptNumber attempt, std::uint32_t events, Instant now) override;
    void ended(AttemptNumber attempt, Instant now) override;
    void removed(const EndpointId &endpoint) override { m_running.erase(endpoint); }
    void peerReported(const Peer &peer, Instant now) override;
    double running(const EndpointId &endpoint) const override;
    std::vector<Digest::EndpointLoad> loads(Instant now) const override;

private:
    double cost(const Endpoint &endpoint, Instant now);

    const ZoneId m_zone;
    const EndpointHealthTracker &m_watch;
    RandomSource m_random;
    PeerLoads m_peers;
    std::map<EndpointId, unsigned> m_running;
    std::map<AttemptNumber, EndpointId> m_attempts;
};

} // namespace monsoonsail
