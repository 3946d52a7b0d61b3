#pragma once

#include "core/identifiers.h"
#include "core/name_hash.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace monsoonsail {

/// How one software version of a service has answered the requests of one route since the order of
/// a roll-out.
struct VersionEvidence
{
    /// Bucket i counts answers that took 2^(i/2 - 3) to 2^((i+1)/2 - 3) times the expected time;
    /// the first and the last one also count what lies beyond.
    static constexpr std::size_t bucketCount = 12;

    ServiceHash service;
    SoftwareVersion software;
    std::uint64_t routeHash = 0;
    LogOffset order = 0;        ///< See RolloutState::order.
    std::uint32_t answers = 0;  ///< Whole answers and failures.
    std::uint32_t failures = 0; ///< Server errors and answers that broke off.
    std::array<std::uint32_t, bucketCount> times{};
};

} // namespace monsoonsail
