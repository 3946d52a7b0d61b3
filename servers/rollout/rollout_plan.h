#pragma once

#include "core/instant.h"
#include "servers/rollout/rollout_state.h"
#include "servers/rollout/rollout_verdict.h"

#include <optional>
#include <string>

namespace monsoonsail {

/// A change of phase and what it is due to.
struct RolloutStep
{
    RolloutPhase phase = RolloutPhase::Trial;
    std::string reason;
};

/// What the next phase of a roll-out depends on.
struct RolloutSituation
{
    RolloutVerdict verdict;
    Instant phaseSince;          ///< When this instance learned of the phase.
    bool targetIsListed = false; ///< Whether the target has a usable endpoint.
    double oldRuns = 0;          ///< Requests running on other versions.
    /// Whether it is certain that the operator has not been told of the phase.
    bool isWithdrawable = false;
};

/// Returns the next phase if it is time for it. RollingBack and Completed end with the report to
/// the operator, so RolledBack is never returned.
std::optional<RolloutStep> nextRolloutStep(const RolloutState &state,
                                           const RolloutSituation &situation, Instant now);

} // namespace monsoonsail
