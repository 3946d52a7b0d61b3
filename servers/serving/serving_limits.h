#pragma once

#include "core/instant.h"
#include "servers/allowance/allowance_ledger.h"
#include "servers/fleet/work_meter.h"
#include "servers/retry/repeat_budget.h"
#include "servers/rollout/rollout_limits.h"

#include <optional>

namespace monsoonsail {

/// Limits and intervals that the platform sets for serving.
struct ServingLimits
{
    RepeatLimit repeats;
    AllowanceRules allowances;
    FleetPolicy fleet;
    /// Whether requests share the places of engines by their urgency and account if these are
    /// short.
    bool sharesPlaces = false;
    /// Whether placement uses what is learned about the speed of endpoints and the length of runs.
    bool learnsCosts = false;
    /// A configuration that has not been confirmed for longer may be outdated.
    Duration maxConfigurationAge = std::chrono::milliseconds(2000);
    /// Time within which a published configuration must be in force on all instances.
    Duration configurationTime = std::chrono::milliseconds(2000);
    /// Interval at which endpoints renew their entries.
    Duration heartbeatInterval = std::chrono::milliseconds(1200);
    Duration drainTime = std::chrono::seconds(2); ///< Leaving endpoints keep serving for this long.
    Duration usageWindow = std::chrono::seconds(5); ///< Length of a metering window.
    /// Time from the end of a metering window until its report is due.
    Duration usageReportDeadline = std::chrono::seconds(10);
    Duration dutyLease = std::chrono::milliseconds(3000);
    std::optional<RolloutLimits> rollout; ///< Empty where there are no roll-outs.
    bool fencingNumbersAreChecked = true; ///< Whether the platform rejects old fencing numbers.
};

} // namespace monsoonsail
