#include "drivers/net/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>

namespace monsoonsail {

std::optional<sockaddr_in> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string host(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] =
            std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size())
        return std::nullopt;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

std::string formatSocketAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

} // namespace monsoonsail
