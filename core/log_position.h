#pragma once

#include "core/identifiers.h"

#include <cstdint>

namespace monsoonsail {

/// Number of the store's history; rises each time the store comes back from an older copy.
using StoreEra = std::uint32_t;

/// The parts of a LogOffset. Offsets are given out again in each era, so the era is the upper part:
/// positions are ordered by era first, and those of different eras are never equal.
struct LogPosition
{
    static constexpr unsigned offsetBits = 40;
    static constexpr std::uint64_t maxOffset = (std::uint64_t{1} << offsetBits) - 1;
    static constexpr StoreEra maxEra = (StoreEra{1} << (64 - offsetBits)) - 1;

    StoreEra era = 0;         ///< At most maxEra.
    std::uint64_t offset = 0; ///< Offset that the store has given out in `era`, at most maxOffset.

    static constexpr LogPosition of(LogOffset position)
    {
        return {.era = static_cast<StoreEra>(position >> offsetBits),
                .offset = position & maxOffset};
    }
    constexpr LogOffset value() const { return LogOffset{era} << offsetBits | offset; }
};

} // namespace monsoonsail
