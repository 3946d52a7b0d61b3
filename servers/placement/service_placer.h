#pragma once

#include "core/random_source.h"
#include "servers/costs/answer_speeds.h"
#include "servers/endpoints/endpoint_health_tracker.h"
#include "servers/placement/peer_loads.h"
#include "servers/placement/placer.h"

#include <map>
#include <memory>

namespace monsoonsail {

/// Places requests on the endpoint of a plain service with the lowest expected answer time, which
/// is estimated from its typical answer time, its running requests and its recent failures.
class ServicePlacer : public Placer
{
public:
    /// `zone` is the availability zone of this instance. `endpointHealth` must outlive the placer.
    /// Without `speeds`, the typical answer time of an endpoint is the same for all routes.
    ServicePlacer(ZoneId zone, const EndpointHealthTracker &endpointHealth, std::uint64_t seed,
                  std::unique_ptr<AnswerSpeeds> speeds = nullptr);

    std::optional<Placement> place(const PlacementRequest &request,
                                   std::span<const Endpoint *const> candidates,
                                   Instant now) override;
    void recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                            const Placement &placement, Instant now) override;
    void recordProgress(AttemptNumber attempt, std::uint32_t events, Instant now) override;
    void recordAnswer(AttemptNumber attempt, Instant now) override;
    void recordAttemptEnd(AttemptNumber attempt, Instant now) override;
    void removeEndpoint(const EndpointId &endpoint) override;
    void applyPeerDigest(const Peer &peer, Instant now) override;
    double runningRequests(const EndpointId &endpoint) const override;
    std::vector<Digest::EndpointLoad> ownLoads(Instant now) const override;
    std::vector<Digest::EndpointSpeed> takeUnsentSpeeds(std::size_t maxCount) override;

private:
    double cost(const PlacementRequest &request, const Endpoint &endpoint, Instant now);

    const ZoneId m_zone;
    const EndpointHealthTracker &m_endpointHealth;
    RandomSource m_random;
    PeerLoads m_peerLoads;
    std::map<EndpointId, unsigned> m_runningRequests;
    std::map<AttemptNumber, EndpointId> m_attemptEndpoints;
    std::unique_ptr<AnswerSpeeds> m_speeds; ///< Null if costs are not learned.
};

} // namespace monsoonsail
