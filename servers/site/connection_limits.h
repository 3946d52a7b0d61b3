#pragma once

#include "core/instant.h"

#include <cstdint>

namespace monsoonsail {

/// Limits on the size and duration of requests on a caller's connection.
struct ConnectionLimits
{
    std::uint32_t maxHeaderBytes = 16U * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    /// From the first byte to the end of the header.
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15); ///< Between requests, or between body bytes.
};

} // namespace monsoonsail
