#include "servers/versions/begin_record.h"

#include <cstddef>

namespace monsoonsail {

namespace {

constexpr unsigned bitsPerByte = 8;
constexpr std::size_t maxNameBytes = 255;

template <typename Number>
void appendBigEndian(Number number, std::string &output)
{
    for (std::size_t byte = sizeof(Number); byte-- > 0;)
        output.push_back(static_cast<char>(number >> (byte * bitsPerByte)));
}

template <typename Number>
std::optional<Number> takeBigEndian(std::string_view &input)
{
    if (input.size() < sizeof(Number))
        return std::nullopt;
    Number number = 0;
    for (const char byte : input.substr(0, sizeof(Number)))
        number = static_cast<Number>(number << bitsPerByte | static_cast<unsigned char>(byte));
    input.remove_prefix(sizeof(Number));
    return number;
}

} // namespace

std::string encodeBeginRecord(const BeginsByVersion &begins)
{
    std::string value;
    for (const auto &[software, streams] : begins) {
        const std::string_view name = software.view().substr(0, maxNameBytes);
        value.push_back(static_cast<char>(name.size()));
        value.append(name);
        appendBigEndian(static_cast<std::uint32_t>(streams.size()), value);
        for (const std::uint64_t stream : streams)
            appendBigEndian(stream, value);
    }
    return value;
}

std::optional<BeginsByVersion> decodeBeginRecord(std::string_view value)
{
    BeginsByVersion begins;
    while (!value.empty()) {
        const auto nameBytes = static_cast<unsigned char>(value.front());
        value.remove_prefix(1);
        if (value.size() < nameBytes)
            return std::nullopt;
        std::vector<std::uint64_t> &streams =
                begins[SoftwareVersion(std::string(value.substr(0, nameBytes)))];
        value.remove_prefix(nameBytes);
        const auto count = takeBigEndian<std::uint32_t>(value);
        if (!count || value.size() / sizeof(std::uint64_t) < *count)
            return std::nullopt;
        for (std::uint32_t index = 0; index < *count; ++index)
            streams.push_back(*takeBigEndian<std::uint64_t>(value));
    }
    return begins;
}

} // namespace monsoonsail
