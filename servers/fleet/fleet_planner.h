#pragma once

#include "servers/fleet/fleet_plan.h"
#include "servers/fleet/work_meter.h"
#include "servers/site/service.h"

#include <algorithm>
#include <optional>
#include <set>

namespace monsoonsail {

/// Engines that earlier holders of the duties have ordered, as seen by a new holder that does not
/// know the load yet.
struct InheritedFleet
{
    unsigned onDemand = 0;
    unsigned reclaimable = 0; ///< Those that were ready at the first plan.

    /// Returns how many engines the load probably needed. This is not the sum, since engines of one
    /// market may have been replacing those of the other.
    unsigned engineCount() const { return std::max(onDemand, reclaimable); }
};

/// Input of the fleet planner for one service.
struct FleetDemand
{
    const ScalingLimits *limits = nullptr;
    std::optional<EnginesNeeded> needed; ///< Unset until the load is known.
    InheritedFleet inherited;
    FleetPlan ready;                  ///< Engines that take work.
    FleetPlan booting;                ///< Engines that have been ordered and do not take work yet.
    std::set<EnginePool> unavailable; ///< Pools that have no engines available at present.
};

/// Decides how many engines run in each availability zone and market.
class FleetPlanner
{
public:
    virtual ~FleetPlanner() = default;

    virtual FleetPlan plan(const FleetDemand &demand) const = 0;
};

/// Returns the number of engines in a pool; 0 if the plan does not contain the pool.
unsigned countOf(const FleetPlan &plan, const EnginePool &pool);
/// Returns the number of engines of a market in all availability zones.
unsigned countOf(const FleetPlan &plan, Market market);

} // namespace monsoonsail
