#include "core/json_fields.h"

#include <cmath>

namespace monsoonsail {

namespace {

/// A configuration has six levels.
constexpr int maxNesting = 32;
/// The first number that 64 bits cannot hold.
constexpr double uintEnd = 18446744073709551616.0;

bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (isInString && character == '\\')
            ++index;
        else if (character == '"')
            isInString = !isInString;
        else if (!isInString && (character == '[' || character == '{') && ++depth > maxNesting)
            return true;
        else if (!isInString && (character == ']' || character == '}'))
            --depth;
    }
    return false;
}

const nlohmann::json *findMember(const nlohmann::json &object, const char *name)
{
    const auto entry = object.find(name);
    return object.is_object() && entry != object.end() ? &*entry : nullptr;
}

} // namespace

// The parser does not fail at any depth, but takes hundreds of milliseconds and 50 MB for the
// deepest document that fits into a record.
nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return nlohmann::json::value_t::discarded;
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<std::string> stringField(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *value = findMember(object, name);
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return value->get<std::string>();
}

std::optional<std::uint64_t> toUint(const nlohmann::json &value)
{
    if (value.is_number_unsigned())
        return value.get<std::uint64_t>();
    if (!value.is_number_float())
        return std::nullopt;
    const auto number = value.get<double>();
    if (number < 0 || number >= uintEnd || std::floor(number) != number)
        return std::nullopt;
    return static_cast<std::uint64_t>(number);
}

std::optional<std::uint64_t> uintField(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *value = findMember(object, name);
    return value != nullptr ? toUint(*value) : std::nullopt;
}

std::optional<double> numberField(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *value = findMember(object, name);
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    return value->get<double>();
}

std::optional<bool> boolField(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *value = findMember(object, name);
    if (value == nullptr || !value->is_boolean())
        return std::nullopt;
    return value->get<bool>();
}

const nlohmann::json &arrayField(const nlohmann::json &object, const char *name)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json *value = findMember(object, name);
    return value != nullptr && value->is_array() ? *value : empty;
}

} // namespace monsoonsail
