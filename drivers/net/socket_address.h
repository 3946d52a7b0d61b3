#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Parses "IP:port" (IPv4). Returns std::nullopt if the text has another form.
std::optional<sockaddr_in> parseSocketAddress(std::string_view text);
/// Returns the address as "IP:port".
std::string formatSocketAddress(const sockaddr_in &address);

} // namespace monsoonsail
