#pragma once

#include <cstdint>
#include <vector>

namespace monsoonsail {

/// Returns the seeds from FIRST to LAST if the environment variable is "FIRST-LAST" or "FIRST",
/// otherwise `regular`.
std::vector<std::uint64_t> seedsToRun(const char *variable, std::vector<std::uint64_t> regular);

} // namespace monsoonsail
