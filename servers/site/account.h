#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// How much a client account may ask for, over all entry instances together.
struct Allowance
{
    double perSecond = 0; ///< 0 for no limit.
    double burst = 0;
    bool countsTokens = false;       ///< Whether requests count by their tokens, or each as one.
    std::uint32_t defaultTokens = 0; ///< Tokens of a request that names none.
};

struct Account
{
    AccountId name;
    std::vector<std::string> apiKeys;
    std::optional<unsigned> priority; ///< Takes precedence over that of the route.
    Allowance allowance;
};

} // namespace monsoonsail
