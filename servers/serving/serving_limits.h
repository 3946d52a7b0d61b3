#pragma once

#include "core/instant.h"
#include "servers/retry/repeat_budget.h"

namespace monsoonsail {

/// Bounds that the platform sets for serving.
struct ServingLimits
{
    RepeatLimit repeats;
    /// Age of the configuration beyond which it may no longer be the newest one.
    Duration configurationAge = std::chrono::milliseconds(2000);
};

} // namespace monsoonsail
