#pragma once

#include "servers/fleet/fleet_planner.h"

#include <cstddef>

namespace monsoonsail {

/// Spreads reclaimable engines evenly over the availability zones, so that enough remain after the
/// loss of any one zone, and adds engines on demand in the cheapest zones while there are too few.
class SpreadFleetPlanner : public FleetPlanner
{
public:
    FleetPlan plan(const FleetDemand &demand) const override;

private:
    static unsigned reclaimablePerZone(const FleetDemand &demand, std::size_t zoneCount);
};

} // namespace monsoonsail
