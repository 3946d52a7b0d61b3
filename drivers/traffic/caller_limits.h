#pragma once

#include "core/instant.h"

#include <cstddef>

namespace monsoonsail {

/// Bounds of all connections of a listener together.
struct CallerLimits
{
    std::size_t maxConnections = 1024;
    /// For requests that are incomplete, waiting or running.
    std::size_t maxRequestBytes = 32UL * 1024 * 1024;
    /// For answers that callers have not read.
    std::size_t maxUnreadBytes = 32UL * 1024 * 1024;
    /// From the first byte of a request to its last.
    Duration requestTime = std::chrono::seconds(600);
};

} // namespace monsoonsail
