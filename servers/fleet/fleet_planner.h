#pragma once

#include "core/instant.h"
#include "servers/fleet/fleet_plan.h"
#include "servers/site/service.h"

#include <map>
#include <set>

namespace monsoonsail {

/// What a fleet is planned from.
struct FleetDemand
{
    const ScalingLimits *limits = nullptr;
    double enginesBusy = 0; ///< Engines that the present load would keep busy all the time.
    FleetPlan ready;        ///< Engines that take work.
    std::set<FleetSlot> unavailable; ///< Where none is to be had at present.
};

/// Decides how many engines of which market run where.
class FleetPlanner
{
public:
    virtual ~FleetPlanner() = default;

    virtual FleetPlan plan(const FleetDemand &demand) const = 0;
};

} // namespace monsoonsail
