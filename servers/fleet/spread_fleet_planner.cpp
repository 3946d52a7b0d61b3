#include "servers/fleet/spread_fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoonsail {

namespace {

unsigned countOf(const FleetPlan &plan, const ZoneId &zone, Market market)
{
    const auto entry = plan.find({zone, market});
    return entry == plan.end() ? 0 : entry->second;
}

/// Returns the zones, the cheapest first.
std::vector<ZoneId> zonesByPrice(const ScalingLimits &limits)
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, price] : limits.zonePrices)
        zones.push_back(zone);
    std::ranges::stable_sort(zones, {}, [&limits](const ZoneId &zone) {
        return limits.zonePrices.at(zone);
    });
    return zones;
}

} // namespace

FleetPlan SpreadFleetPlanner::plan(const FleetDemand &demand) const
{
    const ScalingLimits &limits = *demand.limits;
    const std::vector<ZoneId> zones = zonesByPrice(limits);
    FleetPlan plan;
    if (zones.empty())
        return plan;
    // With one zone lost, the others must carry the load at the target use.
    const double needed = demand.enginesBusy / m_policy.targetUse;
    const auto bearing = std::max<std::size_t>(1, zones.size() - 1);
    const auto inZone = static_cast<unsigned>(std::ceil(needed / static_cast<double>(bearing)));
    const unsigned reclaimable =
            std::clamp(inZone, std::max(m_policy.leastReclaimable, limits.least), limits.most);
    unsigned ready = 0;
    for (const ZoneId &zone : zones) {
        plan[{zone, Market::Reclaimable}] = reclaimable;
        plan[{zone, Market::OnDemand}] = 0;
        ready += countOf(demand.ready, zone, Market::Reclaimable);
    }
    // Engines on demand fill what the reclaimable ones that are ready lack.
    const double least = demand.enginesBusy / m_policy.leastUse;
    auto missing = static_cast<unsigned>(std::max(0.0, std::ceil(least - ready)));
    for (const ZoneId &zone : zones) {
        const bool isRefused = demand.unavailable.contains({zone, Market::OnDemand});
        const unsigned present = countOf(demand.ready, zone, Market::Reclaimable);
        const unsigned room = limits.most - std::min(limits.most, std::max(present, 0U));
        const unsigned added = isRefused ? 0 : std::min(missing, room);
        plan[{zone, Market::OnDemand}] = added;
        missing -= added;
        // Both markets together are bounded.
        plan[{zone, Market::Reclaimable}] = std::min(reclaimable, limits.most - added);
    }
    return plan;
}

} // namespace monsoonsail
