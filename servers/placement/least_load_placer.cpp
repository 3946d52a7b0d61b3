#include "servers/placement/least_load_placer.h"

#include <algorithm>

namespace monsoonsail {

std::optional<Placement> LeastLoadPlacer::place(const PlacementRequest & /*request*/,
                                                std::span<const Endpoint *const> candidates,
                                                Instant now)
{
    const auto load = [this](const Endpoint *endpoint) {
        const auto running = m_running.find(endpoint->id);
        const unsigned count = running == m_running.end() ? 0 : running->second;
        return static_cast<double>(count) / endpoint->listing.slots;
    };
    const auto best = std::ranges::min_element(candidates, {}, load);
    if (best == candidates.end())
        return std::nullopt;
    return Placement{.endpoint = (*best)->id, .expectedStart = now};
}

void LeastLoadPlacer::started(AttemptNumber attempt, const PlacementRequest & /*request*/,
                              const EndpointId &endpoint, Instant /*now*/)
{
    m_attempts[attempt] = endpoint;
    ++m_running[endpoint];
}

void LeastLoadPlacer::progressed(AttemptNumber /*attempt*/, std::uint32_t /*events*/,
                                 Instant /*now*/)
{ }

void LeastLoadPlacer::ended(AttemptNumber attempt, EndpointVerdict /*verdict*/, Instant /*now*/)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end())
        return;
    const auto running = m_running.find(entry->second);
    if (running != m_running.end() && running->second > 0)
        --running->second;
    m_attempts.erase(entry);
}

void LeastLoadPlacer::removed(const EndpointId &endpoint)
{
    m_running.erase(endpoint);
}

} // namespace monsoonsail
