#pragma once

#include <cstdint>
#include <random>

namespace monsoonsail {

/// Seeded random numbers, so that equal seeds and events give equal decisions.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_engine(seed)
    { }

    /// Returns a value in [0, bound). `bound` must be positive.
    std::uint64_t integerBelow(std::uint64_t bound) { return m_engine() % bound; }

    /// Returns a value in [0, 1).
    double fraction() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

private:
    // The standard fixes this engine's sequence; the standard distributions differ by library.
    std::mt19937_64 m_engine;
};

} // namespace monsoonsail
