#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Reads "IP:port" (IPv4); nothing if the text is something else.
std::optional<sockaddr_in> parseSocketAddress(std::string_view text);
/// Returns "IP:port".
std::string formatSocketAddress(const sockaddr_in &address);

} // namespace monsoonsail
