#pragma once

#include "servers/mesh/bulletin.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Encodes a bulletin in the wire format of Protocol Buffers.
std::string encodeBulletin(const Bulletin &bulletin);
/// Decodes a bulletin. Returns std::nullopt if the bytes are not a complete bulletin of the present
/// layout.
std::optional<Bulletin> decodeBulletin(std::string_view bytes);

} // namespace monsoonsail
