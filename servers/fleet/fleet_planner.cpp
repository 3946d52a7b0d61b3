#include "servers/fleet/fleet_planner.h"

namespace monsoonsail {

unsigned countOf(const FleetPlan &plan, const EnginePool &pool)
{
    const auto entry = plan.find(pool);
    return entry == plan.end() ? 0 : entry->second;
}

unsigned countOf(const FleetPlan &plan, Market market)
{
    unsigned count = 0;
    for (const auto &[pool, engines] : plan) {
        if (pool.second == market)
            count += engines;
    }
    return count;
}

} // namespace monsoonsail
