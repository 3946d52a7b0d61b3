#include "servers/rollout/rollout_plan.h"

#include <algorithm>

namespace monsoonsail {

namespace {

/// The operator is told this long before the deadline, or a sixth of the time if that is shorter:
/// the store may be slow, and clocks differ.
constexpr Duration reportMargin = std::chrono::milliseconds(1000);
constexpr int minMarginParts = 6;
/// Shortest time for which requests are shifted before the roll-out is completed.
constexpr Duration minShiftTime = std::chrono::milliseconds(800);
/// The shift begins in this last part of the time: a bad version that gets all requests for longer
/// would exceed its share by more.
constexpr double shiftPart = 0.4;
/// Longer than streams last.
constexpr Duration maxShiftTime = std::chrono::seconds(20);
/// All instances know the phase, and their counts of runs have arrived.
constexpr Duration settleTime = std::chrono::milliseconds(1500);
/// Without a verdict in time, a target that has answered as many requests without a sign against it
/// is taken.
constexpr unsigned minServedAnswers = 20;

std::optional<RolloutStep> stepFromTrial(const RolloutState &state,
                                         const RolloutSituation &situation, Instant now)
{
    const Duration allowed = state.dueAt - state.orderedAt;
    const Instant reportAt = state.dueAt - std::min(reportMargin, allowed / minMarginParts);
    const RolloutVerdict &verdict = situation.verdict;
    if (now >= reportAt) {
        const std::string reason =
                situation.targetIsListed ? "not judged in time: " : "the target has no endpoint: ";
        return RolloutStep{RolloutPhase::RollingBack, reason + verdict.reason};
    }
    if (!situation.targetIsListed)
        return std::nullopt;
    const Duration shiftTime = std::min(fromSeconds(toSeconds(allowed) * shiftPart), maxShiftTime);
    const bool isGood = verdict.judgement == RolloutJudgement::Good;
    if (isGood && now >= state.dueAt - shiftTime)
        return RolloutStep{RolloutPhase::Shifting, verdict.reason};
    const bool isLast = now >= reportAt - minShiftTime;
    if (isLast && !verdict.hasSign && verdict.answers >= minServedAnswers)
        return RolloutStep{RolloutPhase::Shifting, "nothing against the target: " + verdict.reason};
    return std::nullopt;
}

std::optional<RolloutStep> stepFromShifting(const RolloutState &state,
                                            const RolloutSituation &situation, Instant now)
{
    if (!situation.targetIsListed)
        return RolloutStep{RolloutPhase::RollingBack, "the target has no endpoint any more"};
    const Duration allowed = state.dueAt - state.orderedAt;
    if (now >= state.dueAt - std::min(reportMargin, allowed / minMarginParts))
        return RolloutStep{RolloutPhase::Completed, "the deadline is near"};
    if (situation.oldRuns < 1 && now >= situation.phaseSince + settleTime)
        return RolloutStep{RolloutPhase::Completed, "no request runs on an old version"};
    return std::nullopt;
}

} // namespace

std::optional<RolloutStep> nextRolloutStep(const RolloutState &state,
                                           const RolloutSituation &situation, Instant now)
{
    const bool isBad = situation.verdict.judgement == RolloutJudgement::Bad;
    const RolloutStep rollBack{RolloutPhase::RollingBack, situation.verdict.reason};
    switch (state.phase) {
    case RolloutPhase::Trial:
        return isBad ? rollBack : stepFromTrial(state, situation, now);
    case RolloutPhase::Shifting:
        return isBad ? rollBack : stepFromShifting(state, situation, now);
    case RolloutPhase::Completed:
        if (isBad && situation.isWithdrawable)
            return rollBack;
        break;
    case RolloutPhase::RollingBack:
    case RolloutPhase::RolledBack:
        break;
    }
    return std::nullopt;
}

} // namespace monsoonsail
