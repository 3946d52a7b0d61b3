#include "drivers/http/header_fields.h"

#include <algorithm>
#include <array>

namespace monsoonsail {

namespace {

constexpr std::array<std::string_view, 8> hopByHopNames{
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
        "trailer",    "upgrade",    "transfer-encoding"};

char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimWhitespace(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// Whether the comma-separated `list` contains `token`.
bool containsToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equalFieldNames(trimWhitespace(list.substr(0, comma)), token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

void HeaderFields::add(std::string_view name, std::string_view value)
{
    m_memoryBytes += sizeof(HeaderField) + name.size() + value.size();
    m_fields.push_back({.name = std::string(name), .value = std::string(value)});
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const
{
    for (const HeaderField &field : m_fields) {
        if (equalFieldNames(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::size_t HeaderFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(m_fields.begin(), m_fields.end(), [name](const HeaderField &field) {
                return equalFieldNames(field.name, name);
            }));
}

bool equalFieldNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLower(a) == toLower(b); });
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    const auto isSameName = [name](std::string_view candidate) {
        return equalFieldNames(name, candidate);
    };
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), isSameName)
            || containsToken(connection, name);
}

} // namespace monsoonsail
