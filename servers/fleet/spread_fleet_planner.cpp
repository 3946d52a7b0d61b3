#include "servers/fleet/spread_fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoonsail {

namespace {

/// Before the load is known, as many engines are ordered as were there, and this much more:
/// reclaimable engines are cheap, and a day may begin with a fleet that is too small for
/// it.
constexpr double initialGrowthFactor = 1.5;

/// Returns the zones, the cheapest first.
std::vector<ZoneId> zonesByPrice(const ScalingLimits &limits)
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, price] : limits.zonePrices)
        zones.push_back(zone);
    std::ranges::stable_sort(zones, {},
                             [&limits](const ZoneId &zone) { return limits.zonePrices.at(zone); });
    return zones;
}

} // namespace

unsigned SpreadFleetPlanner::reclaimablePerZone(const FleetDemand &demand, std::size_t zones)
{
    const ScalingLimits &limits = *demand.limits;
    double perZone = 0;
    if (demand.needed) {
        // One more zone may go at any time, also while there are none to be had in another.
        const auto unavailableZones = static_cast<std::size_t>(
                std::ranges::count_if(demand.unavailable, [](const EnginePool &pool) {
                    return pool.second == Market::Reclaimable;
                }));
        // Where hardly any are to be had, more are not ordered for the time when there are.
        const std::size_t remainingZones = std::max(zones - std::min(zones, unavailableZones + 1),
                                                    std::max<std::size_t>(1, zones / 2));
        perZone = demand.needed->reclaimable / static_cast<double>(remainingZones);
    } else {
        // Reclaimable engines that are there were ordered with the same reserve.
        const double engines = std::max(initialGrowthFactor * demand.inherited.onDemand,
                                        static_cast<double>(demand.inherited.reclaimable));
        perZone = engines / static_cast<double>(zones);
    }
    return std::clamp(static_cast<unsigned>(std::ceil(perZone)), limits.minEngines,
                      limits.maxEngines);
}

FleetPlan SpreadFleetPlanner::plan(const FleetDemand &demand) const
{
    const ScalingLimits &limits = *demand.limits;
    const std::vector<ZoneId> zones = zonesByPrice(limits);
    FleetPlan plan;
    if (zones.empty())
        return plan;
    const unsigned perZone = reclaimablePerZone(demand, zones.size());
    const unsigned reclaimableCount = countOf(demand.ready, Market::Reclaimable)
            + countOf(demand.booting, Market::Reclaimable);
    // Engines on demand fill what the reclaimable ones lack. Before the load is known, those that
    // are there stay until the reclaimable ones take work.
    const double needed = demand.needed ? demand.needed->minimum : 0;
    auto missing = static_cast<unsigned>(std::max(0.0, std::ceil(needed - reclaimableCount)));
    for (const ZoneId &zone : zones) {
        const EnginePool onDemandPool{zone, Market::OnDemand};
        const EnginePool reclaimablePool{zone, Market::Reclaimable};
        const unsigned room = limits.maxEngines
                - std::min(limits.maxEngines,
                           countOf(demand.ready, reclaimablePool)
                                   + countOf(demand.booting, reclaimablePool));
        const unsigned added =
                demand.unavailable.contains(onDemandPool) ? 0 : std::min(missing, room);
        missing -= added;
        plan[onDemandPool] = added;
        // Both markets together are bounded.
        plan[reclaimablePool] = std::min(perZone, limits.maxEngines - added);
    }
    return plan;
}

} // namespace monsoonsail
