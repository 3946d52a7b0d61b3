#pragma once

#include "core/identifiers.h"

namespace monsoonsail {

/// Recent demand of a client account on all instances, in the unit of its allowance.
struct AccountRate
{
    AccountId account;
    double requestedPerSecond = 0; ///< Including requests that were refused.
    double allowedPerSecond = 0;   ///< 0 if unlimited.
};

} // namespace monsoonsail
