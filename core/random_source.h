#pragma once

#include <cstdint>
#include <random>

namespace monsoonsail {

/// Seeded pseudorandom numbers, so that equal seeds and events lead to equal decisions.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_engine(seed)
    { }

    /// Returns an integer in [0, bound). `bound` must be positive.
    std::uint64_t integerBelow(std::uint64_t bound) { return m_engine() % bound; }

    /// Returns a value in [0, 1).
    double fraction() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

private:
    // The C++ standard specifies the sequence of this engine. That of the standard distributions
    // differs between libraries, so they aren't used.
    std::mt19937_64 m_engine;
};

} // namespace monsoonsail
