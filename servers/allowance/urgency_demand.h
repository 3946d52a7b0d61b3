#pragma once

#include "core/instant.h"

#include <array>
#include <cstddef>

namespace monsoonsail {

/// Recent demand of one client account by urgency, in the unit of its allowance. It decays within
/// seconds.
///
/// Load: an account that floods with requests of several urgencies.
class UrgencyDemand
{
public:
    /// Requests of a higher number count as the last one.
    static constexpr std::size_t urgencyCount = 10;

    static std::size_t indexOf(unsigned urgency);

    void advance(Instant now);
    void add(unsigned urgency, double amount);
    /// Returns the demand per second of requests of this urgency.
    double rateOf(unsigned urgency) const;
    /// Returns the demand per second of requests that are more urgent.
    double rateBefore(unsigned urgency) const;
    double totalRate() const;

private:
    std::array<double, urgencyCount> m_amounts{}; ///< As of `m_decayedAt`.
    Instant m_decayedAt;
};

} // namespace monsoonsail
