#include "servers/admission/offered_work.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// What chance may bring together: requests of the largest size, and standard deviations. What is
/// beyond counts as a surge.
constexpr double surgeMargin = 3;
constexpr double surgeDeviations = 3;
/// Demand beyond the allowance is refused before.
constexpr double maxAllowedFactor = 1.25;

} // namespace

void OfferedWork::record(const PlaceRequest &request, Instant now)
{
    Share &share = m_services[request.service][{request.urgency, request.account}];
    share.cost.add(request.cost, now);
    share.requests.add(1, now);
    share.surge.add(request.cost, now);
    share.largestCost = std::max(share.largestCost, request.cost);
    AccountTotal &total = m_accounts[request.account];
    total.cost.add(request.cost, now);
    total.charge.add(request.charge, now);
}

double OfferedWork::surgePerSecond(const Share &share, Instant now)
{
    const double recent = share.surge.at(now);
    const double usual = share.cost.perSecond(now) * surgeSeconds;
    const double deviation = std::sqrt(usual * share.largestCost);
    const bool isSurge =
            recent > usual + surgeMargin * share.largestCost + surgeDeviations * deviation;
    return isSurge ? recent / surgeSeconds : 0;
}

std::vector<PlaceDemand> OfferedWork::demands(const ServiceId &service,
                                              std::span<const AccountRate> rates,
                                              unsigned instances, Instant now) const
{
    std::vector<PlaceDemand> demands;
    const auto shares = m_services.find(service);
    if (shares == m_services.end())
        return demands;
    double largestWeight = 0;
    for (const auto &[key, share] : shares->second) {
        const auto &[urgency, account] = key;
        const AccountTotal &total = m_accounts.at(account);
        const double cost = share.cost.at(now);
        const double charge = total.charge.at(now);
        if (cost <= 0)
            continue;
        PlaceDemand demand{.account = account, .urgency = urgency, .weight = 0};
        const auto rate = std::ranges::find(rates, account, &AccountRate::account);
        if (rate != rates.end() && charge > 0) {
            double requested = rate->requestedPerSecond;
            if (rate->allowedPerSecond > 0)
                requested = std::min(requested, maxAllowedFactor * rate->allowedPerSecond);
            // Without digests of others, the counts lag behind what this instance sees itself.
            demand.costPerSecond = std::max(requested * cost / charge, share.cost.perSecond(now));
            demand.weight = rate->allowedPerSecond * total.cost.at(now) / charge;
        } else {
            demand.costPerSecond = share.cost.perSecond(now) * instances;
        }
        demand.steadyCostPerSecond =
                std::min(demand.costPerSecond, share.cost.perSecond(now) * instances);
        demand.costPerSecond =
                std::max(demand.costPerSecond, surgePerSecond(share, now) * instances);
        demand.requestsPerSecond = demand.costPerSecond * share.requests.at(now) / cost;
        largestWeight = std::max(largestWeight, demand.weight);
        demands.push_back(demand);
    }
    // An account without a limit counts as the one with the highest.
    for (PlaceDemand &demand : demands) {
        if (demand.weight <= 0)
            demand.weight = largestWeight > 0 ? largestWeight : 1;
    }
    return demands;
}

} // namespace monsoonsail
