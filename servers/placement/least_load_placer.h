#pragma once

#include "servers/placement/placer.h"

#include <map>

namespace monsoonsail {

/// The plain baseline: the endpoint with the fewest own requests for its slots.
class LeastLoadPlacer : public Placer
{
public:
    std::optional<Placement> place(const PlacementRequest &request,
                                   std::span<const Endpoint *const> candidates,
                                   Instant now) override;
    void started(AttemptNumber attempt, const PlacementRequest &request, const EndpointId &endpoint,
                 Instant now) override;
    void progressed(AttemptNumber attempt, std::uint32_t events, Instant now) override;
    void ended(AttemptNumber attempt, EndpointVerdict verdict, Instant now) override;
    void removed(const EndpointId &endpoint) override;

private:
    std::map<EndpointId, unsigned> m_running;
    std::map<AttemptNumber, EndpointId> m_attempts;
};

} // namespace monsoonsail
