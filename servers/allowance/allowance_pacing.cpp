#include "servers/allowance/allowance_pacing.h"

#include <algorithm>

namespace monsoonsail {

namespace {

/// Parts of a window over which a flooding account's use is spread, and within which its demand
/// must use up the rest to be paced. The first is below 1, so that an account that was paced too
/// low soon gets the whole allowance.
constexpr double pacedWindowFraction = 0.75;
constexpr double exhaustedWindowFraction = 1.0 / 3;
/// An account that has used less of its allowance is not paced.
constexpr double minUsedFraction = 0.5;
/// Demand of more urgent requests that is kept in the window: it covers its random variation.
constexpr double minReservedSeconds = 0.7;
constexpr double reservedDigestAges = 1.2;

} // namespace

AllowancePacing paceRequests(const SlidingSum &used, double limit, const UrgencyDemand &demand,
                             double growth, unsigned urgency, Duration window, Duration digestAge,
                             Instant now)
{
    const double moreUrgent = growth * demand.rateBefore(urgency);
    const double own = growth * demand.rateOf(urgency);
    AllowancePacing pacing;
    pacing.reserve =
            moreUrgent * std::max(minReservedSeconds, reservedDigestAges * toSeconds(digestAge));
    pacing.demandUpToUrgency = moreUrgent + own;
    const double usable = limit - pacing.reserve;
    const auto horizon = [window](double fraction) {
        return fromSeconds(toSeconds(window) * fraction);
    };
    pacing.steadyRate = used.maxSteadyRate(usable, horizon(pacedWindowFraction), now);
    pacing.ratePerSecond = std::max(0.0, pacing.steadyRate - moreUrgent);
    pacing.isPaced = used.sum() >= minUsedFraction * limit
            && pacing.demandUpToUrgency
                    > used.maxSteadyRate(usable, horizon(exhaustedWindowFraction), now);
    if (pacing.isPaced && own > pacing.ratePerSecond)
        pacing.admittedFraction = pacing.ratePerSecond / own;
    return pacing;
}

} // namespace monsoonsail
