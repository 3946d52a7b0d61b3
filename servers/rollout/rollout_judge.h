#pragma once

#include "core/identifiers.h"
#include "servers/rollout/rollout_verdict.h"
#include "servers/rollout/version_evidence.h"

#include <span>

namespace monsoonsail {

/// Compares the answers of a roll-out's target with those of the old versions. Load: a few calls a
/// second on each instance during a roll-out, on one record for each version and route.
class RolloutJudge
{
public:
    explicit RolloutJudge(SoftwareVersion target)
        : m_target(std::move(target))
    { }

    /// Judges by all answers since the order. All versions but the target count as old.
    RolloutVerdict judge(std::span<const VersionEvidence> evidence) const;
    /// Judges by recent answers of the target, compared with the worse of the old versions' recent
    /// answers and all their answers. Never returns Good.
    RolloutVerdict judgeRecent(std::span<const VersionEvidence> recent,
                               std::span<const VersionEvidence> all) const;

private:
    SoftwareVersion m_target;
};

} // namespace monsoonsail
