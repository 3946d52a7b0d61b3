#pragma once

#include "core/instant.h"

namespace monsoonsail {

/// What a bad software version may cost, as set by the platform.
struct RolloutLimits
{
    double exposureShare = 0.1; ///< Largest share of the requests that a bad version may get.
    double exposureSlack = 50;  ///< Requests that it may get beyond the share.
    /// From the 50th bad answer until no request is sent to the version any more.
    Duration rollbackTime = std::chrono::seconds(5);
};

} // namespace monsoonsail
