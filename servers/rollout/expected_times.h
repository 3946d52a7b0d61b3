#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace monsoonsail {

/// The usual times of a service's runs by route: geometric means over recent runs. The time to the
/// first event of a stream is in proportion to its uncached prompt tokens and a fixed part.
class ExpectedTimes
{
public:
    enum class Kind : std::uint8_t {
        FirstEvent, ///< Of streams, from the start of the run.
        Event,      ///< Between two events.
        Answer,     ///< Whole plain answers.
    };

    /// Learns from a run of a version in service. `uncachedTokens` matter for FirstEvent only.
    void record(std::uint64_t routeHash, Kind kind, std::uint32_t uncachedTokens, Duration time);
    /// Returns the expected time, or nothing before some runs have been seen.
    std::optional<Duration> expected(std::uint64_t routeHash, Kind kind,
                                     std::uint32_t uncachedTokens) const;

private:
    struct Usual
    {
        double logTime = 0; ///< Natural logarithm of the time in ms per unit of work.
        unsigned samples = 0;
    };

    std::map<std::pair<std::uint64_t, Kind>, Usual> m_usual;
};

} // namespace monsoonsail
