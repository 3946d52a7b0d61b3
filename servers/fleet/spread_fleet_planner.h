#pragma once

#include "servers/fleet/fleet_planner.h"

namespace monsoonsail {

/// How generously a fleet is planned.
struct FleetPolicy
{
    double targetUse = 0.35;      ///< Part of the time that engines are busy, after the loss of one zone.
    double leastUse = 0.6;        ///< The same for the engines that are left when more is lost.
    unsigned leastReclaimable = 2; ///< Reclaimable engines in each zone.
};

/// Spreads reclaimable engines evenly over the zones, so that the loss of any one zone leaves
/// enough of them, and adds engines on demand in the cheapest zones while too few are ready.
class SpreadFleetPlanner : public FleetPlanner
{
public:
    explicit SpreadFleetPlanner(const FleetPolicy &policy)
        : m_policy(policy)
    { }

    FleetPlan plan(const FleetDemand &demand) const override;

private:
    const FleetPolicy m_policy;
};

} // namespace monsoonsail
