#pragma once

#include <string_view>

namespace monsoonsail {

/// Whether the text is the "IP:port" of a host that can be called: four decimal numbers without
/// leading zeros, not of a group of hosts, and a port from 1 to 65535.
bool isHostAddress(std::string_view text);

} // namespace monsoonsail
