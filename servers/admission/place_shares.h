#pragma once

#include "core/identifiers.h"

#include <span>

namespace monsoonsail {

/// Demand of a client account at one urgency for the engines of a service, on all instances.
struct PlaceDemand
{
    AccountId account;
    unsigned urgency = 0;
    double costPerSecond = 0;
    double requestsPerSecond = 0;
    /// The same cost as a lower estimate, without what chance has brought together.
    double steadyCostPerSecond = 0;
    double weight = 1; ///< Part of the capacity that it should get, relative to the others.
};

/// Fractions of the requests of an urgency that are admitted.
struct PlaceShare
{
    double ofUrgency = 1; ///< Of all accounts together.
    double ofAccount = 1; ///< Of the account.
};

/// Divides the capacity of the engines of a service among urgencies in their order, and among the
/// accounts of an urgency by weighted max-min fairness.
///
/// Load: one account floods beside small ones, and urgent requests beside less urgent ones.
/// Urgencies and accounts that get least still get a fraction of the overall served ratio.
PlaceShare sharePlaces(std::span<const PlaceDemand> demands, double capacity,
                       const AccountId &account, unsigned urgency);

/// Whether the account requests no more at this urgency than what it would get if all accounts
/// wanted their part of the capacity that the urgency has.
bool isWithinFairShare(std::span<const PlaceDemand> demands, double capacity,
                       const AccountId &account, unsigned urgency);

} // namespace monsoonsail
