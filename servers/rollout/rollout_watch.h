#pragma once

#include "core/instant.h"
#include "servers/rollout/rollout_judge.h"
#include "servers/rollout/rollout_state.h"

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace monsoonsail {

/// Follows the evidence of one roll-out and judges all of it as well as its most recent part, as a
/// version may turn bad late. Load: some snapshots of one record for each version and route.
class RolloutWatch
{
public:
    explicit RolloutWatch(const RolloutState &state)
        : m_order(state.order)
        , m_target(state.target)
        , m_judge(state.target)
    { }

    LogOffset order() const { return m_order; }
    /// Takes the totals since the order and judges them. `phase` is the present one.
    void update(std::span<const VersionEvidence> counted, RolloutPhase phase, Instant now);
    const RolloutVerdict &verdict() const { return m_verdict; }

private:
    struct Snapshot
    {
        Instant at;
        std::vector<VersionEvidence> totals;
    };

    /// Returns the totals without the target's times during its warm-up.
    std::vector<VersionEvidence> withoutWarmUp(std::span<const VersionEvidence> totals,
                                               Instant now);
    void keepSnapshot(std::span<const VersionEvidence> totals, Instant now);
    /// Returns the verdict on the totals with what the present phase and time allow to conclude.
    RolloutVerdict confirm(RolloutVerdict verdict, const std::vector<VersionEvidence> &totals,
                           RolloutPhase phase, Instant now);

    LogOffset m_order;
    SoftwareVersion m_target;
    RolloutJudge m_judge;
    std::deque<Snapshot> m_snapshots;
    std::vector<VersionEvidence> m_warmUp; ///< Totals at its end; empty before.
    RolloutVerdict m_verdict;
    std::optional<Instant> m_firstAnswerAt;
    std::optional<Instant> m_failingSince;        ///< Since when they have been a sign.
    std::vector<VersionEvidence> m_firstFailures; ///< Totals at the end of the confirmation time.
};

} // namespace monsoonsail
