#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

namespace monsoonsail {

/// A request that needs a batch slot of an engine, with the engine chosen.
struct PlaceRequest
{
    ServiceId service;
    AccountId account;    ///< Empty on a public route.
    unsigned urgency = 0; ///< 0 is the most urgent.
    double cost = 0;      ///< Expected work, in prompt tokens.
    double charge = 0;    ///< In the unit of the account's allowance.
    Instant expectedFirstEventAt;
    Instant goalAt; ///< When the first event should arrive.
    Instant deadline;
    /// Whether the chosen engine has a free batch slot.
    bool hasFreeSlot = false;
};

} // namespace monsoonsail
