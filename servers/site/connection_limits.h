#pragma once

#include "core/instant.h"

#include <cstdint>

namespace monsoonsail {

/// What a caller may send and how long it may take.
struct ConnectionLimits
{
    std::uint32_t maxHeaderBytes = 16U * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte to the whole header.
    Duration idleTimeout = std::chrono::seconds(15);  ///< Between requests, or between body bytes.
};

} // namespace monsoonsail
