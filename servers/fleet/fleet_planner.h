#pragma once

#include "servers/fleet/fleet_plan.h"
#include "servers/fleet/work_meter.h"
#include "servers/site/service.h"

#include <algorithm>
#include <optional>
#include <set>

namespace monsoonsail {

/// Engines that a holder of the duties has found, before it knows the load.
struct InheritedFleet
{
    unsigned onDemand = 0;
    unsigned reclaimable = 0; ///< Ordered by an earlier holder.

    /// Returns how many the load was probably met with: those of one market may have been replacing
    /// those of the other.
    unsigned engineCount() const { return std::max(onDemand, reclaimable); }
};

/// What a fleet is planned from.
struct FleetDemand
{
    const ScalingLimits *limits = nullptr;
    std::optional<EnginesNeeded> needed; ///< Nothing before the load is known.
    InheritedFleet inherited;
    FleetPlan ready;                  ///< Engines that take work.
    FleetPlan booting;                ///< Engines that have been ordered and are about to.
    std::set<EnginePool> unavailable; ///< Where none is to be had at present.
};

/// Decides how many engines of which market run where.
class FleetPlanner
{
public:
    virtual ~FleetPlanner() = default;

    virtual FleetPlan plan(const FleetDemand &demand) const = 0;
};

/// Returns the engines of a slot, 0 if the plan doesn't name it.
unsigned countOf(const FleetPlan &plan, const EnginePool &pool);
/// Returns the engines of a market in all zones.
unsigned countOf(const FleetPlan &plan, Market market);

} // namespace monsoonsail
