#include "core/host_address.h"

#include <charconv>
#include <optional>

namespace monsoonsail {

namespace {

constexpr unsigned maxByte = 255;
constexpr unsigned maxPort = 65535;
/// First byte of the first address that names a group of hosts.
constexpr unsigned firstGroupByte = 224;
constexpr int bytesPerAddress = 4;

/// Removes a decimal number up to `separator`, or up to the end without one, from the front.
std::optional<unsigned> takeNumber(std::string_view &text, std::optional<char> separator)
{
    const std::size_t end = separator ? text.find(*separator) : text.size();
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(0, end);
    text.remove_prefix(separator ? end + 1 : end);
    unsigned number = 0;
    const auto [last, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool hasLeadingZero = digits.size() > 1 && digits.front() == '0';
    if (error != std::errc() || last != digits.data() + digits.size() || hasLeadingZero)
        return std::nullopt;
    return number;
}

} // namespace

bool isHostAddress(std::string_view text)
{
    for (int index = 0; index < bytesPerAddress; ++index) {
        const auto byte = takeNumber(text, index + 1 < bytesPerAddress ? '.' : ':');
        if (!byte || *byte > maxByte || (index == 0 && (*byte == 0 || *byte >= firstGroupByte)))
            return false;
    }
    const auto port = takeNumber(text, std::nullopt);
    return port && *port > 0 && *port <= maxPort;
}

} // namespace monsoonsail
