#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/admission/decaying_sum.h"

#include <map>
#include <optional>

namespace monsoonsail {

/// Estimates the work that the engines of a service complete in a second: what this instance's own
/// runs complete, times the number of runs of all instances for each of its own.
///
/// Load: engines that are lost or slow down, so that the capacity is not known from their number.
class EngineThroughput
{
public:
    void recordStart(AttemptNumber attempt, double cost, Instant now);
    /// `hasRun` tells whether an engine worked on it.
    void recordEnd(AttemptNumber attempt, bool hasRun, Instant now);
    /// Records the number of requests of all instances that are at the engines. Call several times
    /// a second.
    void recordRunning(double running, Instant now);

    /// Returns the cost that has been completed per second, or std::nullopt if it is not known.
    std::optional<double> costPerSecond(Instant now) const;
    /// Returns the cost that this instance has started per second in the last moments, less what
    /// chance may bring together.
    double startedPerSecond(Instant now) const;

private:
    static constexpr double averageSeconds = 4;
    static constexpr double startSeconds = 0.2;

    std::map<AttemptNumber, double> m_runs; ///< Cost of each.
    DecayingSum m_endedCost{averageSeconds};
    DecayingSum m_ownRunning{averageSeconds}; ///< Requests times seconds.
    DecayingSum m_allRunning{averageSeconds};
    DecayingSum m_startedCost{startSeconds};
    double m_largestCost = 0;
    Instant m_recordedAt;
    Instant m_loadedSince; ///< First start after a pause.
};

} // namespace monsoonsail
