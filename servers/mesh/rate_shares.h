#pragma once

#include "core/instant.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Divides a rate that all entry instances have to keep together into whole actions for each of
/// them. In each turn of a second, the actions go to other instances, and all instances compute the
/// same division without a message. What is not used in its turn is lost, so no burst builds up.
class RateShares
{
public:
    /// Sets the names of this instance and of the others, and the clock that all share minus the
    /// local one. Without it, this instance is the only one.
    void update(std::string_view instance, std::span<const std::string> peers,
                Duration clockCorrection);

    /// Returns the number of the turn at `now`.
    std::int64_t turnAt(Instant now) const;
    Instant beginOf(std::int64_t turn) const;
    /// Returns how many actions this instance may make in the turn. `seed` names the rate.
    std::uint32_t shareOf(double perSecond, std::uint64_t seed, std::int64_t turn) const;

private:
    std::uint64_t m_ownHash = 0;
    std::vector<std::uint64_t> m_peerHashes;
    Duration m_clockCorrection{};
};

} // namespace monsoonsail
