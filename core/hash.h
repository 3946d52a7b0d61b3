#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonsail {

/// Returns the 64-bit XXH3 hash of `bytes`. The value is the same on every instance.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace monsoonsail
