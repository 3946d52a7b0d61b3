#include "servers/fleet/fleet_planner.h"

namespace monsoonsail {

unsigned countOf(const FleetPlan &plan, const FleetSlot &slot)
{
    const auto entry = plan.find(slot);
    return entry == plan.end() ? 0 : entry->second;
}

unsigned countOf(const FleetPlan &plan, Market market)
{
    unsigned count = 0;
    for (const auto &[slot, engines] : plan) {
        if (slot.second == market)
            count += engines;
    }
    return count;
}

} // namespace monsoonsail
