#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>

namespace monsoonsail {

/// Number of a metering window: window k begins k times its length after the start of 1970.
using WindowNumber = std::uint64_t;

/// Number of requests by client account that began to run within one window.
using UsageCounts = std::map<AccountId, std::uint32_t>;

} // namespace monsoonsail
