#include "servers/fleet/spread_fleet_planner.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoonsail {

namespace {

/// Until the load is known, reclaimable engines are ordered for this multiple of the inherited
/// engines on demand: they are cheap, and the inherited fleet may be too small for the load.
constexpr double initialGrowthFactor = 1.5;

/// Returns the availability zones in ascending order of price.
std::vector<ZoneId> zonesByPrice(const ScalingLimits &limits)
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, price] : limits.zonePrices)
        zones.push_back(zone);
    std::ranges::stable_sort(zones, {},
                             [&limits](const ZoneId &zone) { return limits.zonePrices.at(zone); });
    return zones;
}

/// Returns how many reclaimable engines the next reclaim may take that can't be replaced by others:
/// those of the largest zone during a shortage, otherwise none.
unsigned irreplaceableEngines(const FleetDemand &demand)
{
    const auto isReclaimable = [](const EnginePool &pool) {
        return pool.second == Market::Reclaimable;
    };
    if (std::ranges::none_of(demand.unavailable, isReclaimable))
        return 0;
    unsigned largest = 0;
    for (const auto &[pool, count] : demand.ready) {
        if (isReclaimable(pool))
            largest = std::max(largest, count);
    }
    return largest;
}

} // namespace

unsigned SpreadFleetPlanner::reclaimablePerZone(const FleetDemand &demand, std::size_t zoneCount)
{
    const ScalingLimits &limits = *demand.limits;
    double perZone = 0;
    if (demand.needed) {
        // The loss of one more zone is covered, also while other zones have no engines available.
        const auto unavailableZones = static_cast<std::size_t>(
                std::ranges::count_if(demand.unavailable, [](const EnginePool &pool) {
                    return pool.second == Market::Reclaimable;
                }));
        // At least half of the zones are counted, so that a wide shortage does not lead to
        // excessive orders, which would be carried out when engines are available again.
        const std::size_t remainingZones =
                std::max(zoneCount - std::min(zoneCount, unavailableZones + 1),
                         std::max<std::size_t>(1, zoneCount / 2));
        perZone = demand.needed->reclaimable / static_cast<double>(remainingZones);
    } else {
        // The inherited reclaimable engines were ordered with such a reserve already, so the factor
        // does not apply to them.
        const double engines = std::max(initialGrowthFactor * demand.inherited.onDemand,
                                        static_cast<double>(demand.inherited.reclaimable));
        perZone = engines / static_cast<double>(zoneCount);
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
    // Engines on demand compensate for missing reclaimable ones. Until the load is known, none are
    // ordered; the inherited ones stay until the reclaimable ones take work.
    const double needed = demand.needed ? demand.needed->minimum : 0;
    const double remaining = static_cast<double>(reclaimableCount) - irreplaceableEngines(demand);
    auto missing = static_cast<unsigned>(std::max(0.0, std::ceil(needed - remaining)));
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
        // The limit of a zone covers both markets.
        plan[reclaimablePool] = std::min(perZone, limits.maxEngines - added);
    }
    return plan;
}

} // namespace monsoonsail
