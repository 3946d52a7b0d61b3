#include "servers/admission/place_shares.h"

#include <algorithm>
#include <map>
#include <vector>

namespace monsoonsail {

namespace {

/// Served ratio of each urgency and account, as a fraction of the overall one. The platform
/// requires a quarter.
constexpr double minServedFraction = 0.3;
constexpr int searchSteps = 12;

struct UrgencyTotal
{
    double cost = 0;
    double requests = 0;
};

using UrgencyTotals = std::map<unsigned, UrgencyTotal>;

/// Returns the fraction of each urgency that is served if each gets at least `minimum`, and the
/// rest is given to the most urgent first.
std::map<unsigned, double> fractionsAbove(double minimum, const UrgencyTotals &totals,
                                          double capacity)
{
    for (const auto &[urgency, total] : totals)
        capacity -= minimum * total.cost;
    std::map<unsigned, double> fractions;
    for (const auto &[urgency, total] : totals) {
        const double wanted = (1 - minimum) * total.cost;
        const double given = std::clamp(capacity, 0.0, wanted);
        fractions[urgency] = minimum + (wanted > 0 ? (1 - minimum) * given / wanted : 0);
        capacity -= given;
    }
    return fractions;
}

double servedRatio(const std::map<unsigned, double> &fractions, const UrgencyTotals &totals)
{
    double served = 0;
    double requests = 0;
    for (const auto &[urgency, total] : totals) {
        served += fractions.at(urgency) * total.requests;
        requests += total.requests;
    }
    return requests > 0 ? served / requests : 1;
}

double urgencyFraction(std::span<const PlaceDemand> demands, double capacity, unsigned urgency)
{
    UrgencyTotals totals;
    double cost = 0;
    for (const PlaceDemand &demand : demands) {
        totals[demand.urgency].cost += demand.costPerSecond;
        totals[demand.urgency].requests += demand.requestsPerSecond;
        cost += demand.costPerSecond;
    }
    if (cost <= capacity || !totals.contains(urgency))
        return 1;
    // The larger the minimum, the lower the overall ratio that it has to be a fraction of.
    double low = 0;
    double high = capacity / cost;
    for (int step = 0; step < searchSteps; ++step) {
        const double middle = (low + high) / 2;
        const double ratio = servedRatio(fractionsAbove(middle, totals, capacity), totals);
        (middle < minServedFraction * ratio ? low : high) = middle;
    }
    return fractionsAbove(high, totals, capacity).at(urgency);
}

/// Returns the cost per second and weight up to which accounts are served.
double fairLevel(std::vector<const PlaceDemand *> &demands, double capacity)
{
    std::ranges::sort(demands, {}, [](const PlaceDemand *demand) {
        return demand->costPerSecond / demand->weight;
    });
    double weight = 0;
    for (const PlaceDemand *demand : demands)
        weight += demand->weight;
    for (const PlaceDemand *demand : demands) {
        const double level = capacity / weight;
        if (demand->costPerSecond / demand->weight > level)
            return level;
        capacity -= demand->costPerSecond;
        weight -= demand->weight;
    }
    return demands.empty() ? 0 : demands.back()->costPerSecond / demands.back()->weight;
}

} // namespace

bool isWithinFairShare(std::span<const PlaceDemand> demands, double capacity,
                       const AccountId &account, unsigned urgency)
{
    const PlaceDemand *own = nullptr;
    double cost = 0;
    double weight = 0;
    for (const PlaceDemand &demand : demands) {
        if (demand.urgency != urgency)
            continue;
        cost += demand.costPerSecond;
        weight += demand.weight;
        if (demand.account == account)
            own = &demand;
    }
    if (own == nullptr)
        return true;
    const double shared = urgencyFraction(demands, capacity, urgency) * cost;
    return own->steadyCostPerSecond * weight <= shared * own->weight;
}

PlaceShare sharePlaces(std::span<const PlaceDemand> demands, double capacity,
                       const AccountId &account, unsigned urgency)
{
    const double fraction = urgencyFraction(demands, capacity, urgency);
    std::vector<const PlaceDemand *> sharing;
    const PlaceDemand *own = nullptr;
    double cost = 0;
    for (const PlaceDemand &demand : demands) {
        if (demand.urgency != urgency)
            continue;
        sharing.push_back(&demand);
        cost += demand.costPerSecond;
        if (demand.account == account)
            own = &demand;
    }
    // An account without recent demand is below every level.
    if (own == nullptr || own->costPerSecond <= 0 || fraction >= 1)
        return {.ofUrgency = fraction, .ofAccount = 1};
    const double level = fairLevel(sharing, fraction * cost);
    const double ofAccount = std::min(1.0, level * own->weight / own->costPerSecond);
    return {.ofUrgency = fraction, .ofAccount = std::max(ofAccount, minServedFraction * fraction)};
}

} // namespace monsoonsail
