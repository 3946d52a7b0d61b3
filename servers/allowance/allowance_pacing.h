#pragma once

#include "core/instant.h"
#include "servers/allowance/sliding_sum.h"
#include "servers/allowance/urgency_demand.h"

namespace monsoonsail {

/// Decides which part of an account's requests of one urgency is admitted, so that its allowance
/// lasts for the whole window and its more urgent requests find what they need.
///
/// Load: an account that requests several times its allowance.
struct AllowancePacing
{
    double reserve = 0;           ///< Kept for more urgent requests.
    double steadyRate = 0;        ///< What all its requests can use per second without a break.
    double ratePerSecond = 0;     ///< Part of that for requests of this urgency.
    double admittedFraction = 1;  ///< Of the requests of this urgency.
    double demandUpToUrgency = 0; ///< Per second, of requests that are at least as urgent.
    bool isPaced = false;         ///< Whether the demand can't be sustained.
};

/// `limit` is the part of the allowance that new requests may use in a window, `growth` the factor
/// by which the demand is about to grow, `digestAge` the age of what is known of other instances.
AllowancePacing paceRequests(const SlidingSum &used, double limit, const UrgencyDemand &demand,
                             double growth, unsigned urgency, Duration window, Duration digestAge,
                             Instant now);

} // namespace monsoonsail
