#pragma once

#include "core/instant.h"
#include "servers/allowance/allowance_ledger.h"
#include "servers/fleet/work_meter.h"
#include "servers/retry/repeat_budget.h"

namespace monsoonsail {

/// Bounds that the platform sets for serving.
struct ServingLimits
{
    RepeatLimit repeats;
    AllowanceRules allowances;
    FleetPolicy fleet;
    /// Age of the configuration beyond which it may no longer be the newest one.
    Duration maxConfigurationAge = std::chrono::milliseconds(2000);
    Duration heartbeatInterval =
            std::chrono::milliseconds(1200);        ///< Endpoints renew their entries so often.
    Duration drainTime = std::chrono::seconds(2);   ///< Leaving endpoints serve on so long.
    Duration usageWindow = std::chrono::seconds(5); ///< Length of a metering window.
    Duration usageReportDelay = std::chrono::seconds(10); ///< From its end until its report is due.
    Duration dutyLease = std::chrono::milliseconds(3000);
    bool fencingNumbersAreChecked = true; ///< Whether the platform refuses old fencing numbers.
};

} // namespace monsoonsail
