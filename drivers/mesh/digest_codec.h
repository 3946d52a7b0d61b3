#pragma once

#include "servers/mesh/digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Encodes a digest in the wire format of Protocol Buffers. Amounts are rounded to whole units.
std::string encodeDigest(const Digest &digest);
/// Decodes a digest. Returns std::nullopt if the bytes are not a complete digest of the present
/// layout.
std::optional<Digest> decodeDigest(std::string_view bytes);

} // namespace monsoonsail
