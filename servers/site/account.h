#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// How much a client account may request, over all entry instances together.
struct Allowance
{
    double perSecond = 0; ///< 0 for no limit.
    double burst = 0;
    /// Whether requests count by their tokens; otherwise each counts as one.
    bool countsTokens = false;
    std::uint32_t defaultTokens = 0; ///< Tokens of a request that does not state its number.
};

struct Account
{
    AccountId name;
    std::vector<std::string> apiKeys;
    std::optional<unsigned> priority; ///< Overrides the priority of the route.
    Allowance allowance;
};

} // namespace monsoonsail
