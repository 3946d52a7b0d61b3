#pragma once

#include "servers/fleet/fleet_planner.h"

#include <cstddef>

namespace monsoonsail {

/// Spreads reclaimable engines evenly over the zones, so that the loss of any one zone leaves as
/// many as are needed, and adds engines on demand in the cheapest zones while too few are there.
class SpreadFleetPlanner : public FleetPlanner
{
public:
    FleetPlan plan(const FleetDemand &demand) const override;

private:
    static unsigned reclaimablePerZone(const FleetDemand &demand, std::size_t zones);
};

} // namespace monsoonsail
