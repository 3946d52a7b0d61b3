#pragma once

#include "servers/admission/decaying_sum.h"
#include "servers/admission/place_request.h"
#include "servers/admission/place_shares.h"
#include "servers/allowance/account_rate.h"

#include <map>
#include <span>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Estimates what each account asks of the engines of a service over all instances: the counts of
/// the allowances, divided by service and urgency as this instance's own requests are.
///
/// Load: floods that begin before digests tell of them. What this instance gets of a surge is taken
/// for what the others get too.
class OfferedWork
{
public:
    void record(const PlaceRequest &request, Instant now);
    std::vector<PlaceDemand> demands(const ServiceId &service, std::span<const AccountRate> rates,
                                     unsigned instances, Instant now) const;

private:
    static constexpr double shareSeconds = 5;
    static constexpr double surgeSeconds = 0.3;

    struct Share
    {
        DecayingSum cost{shareSeconds};
        DecayingSum requests{shareSeconds};
        DecayingSum surge{surgeSeconds};
        double largestCost = 0;
    };
    struct AccountTotal
    {
        DecayingSum cost{shareSeconds};
        DecayingSum charge{shareSeconds};
    };

    /// Returns the cost per second of requests to this instance if they surge, or 0.
    static double surgePerSecond(const Share &share, Instant now);

    std::map<ServiceId, std::map<std::pair<unsigned, AccountId>, Share>> m_services;
    std::map<AccountId, AccountTotal> m_accounts;
};

} // namespace monsoonsail
