#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Hashes of streams by the software version at which they began.
using BeginsByVersion = std::map<SoftwareVersion, std::vector<std::uint64_t>>;

/// Encodes the value of a begin record: for each version the length of its name (1 byte), the name,
/// the number of streams (4 bytes, big-endian) and their hashes (8 bytes each).
std::string encodeBeginRecord(const BeginsByVersion &begins);
/// Returns std::nullopt if the value is not a begin record.
std::optional<BeginsByVersion> decodeBeginRecord(std::string_view value);

} // namespace monsoonsail
