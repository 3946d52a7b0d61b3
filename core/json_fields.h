#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Parses a document that others have written. Returns a discarded value if the text is not valid
/// or is nested more deeply than any document in use.
nlohmann::json parseJson(std::string_view text);

/// Returns the member if it exists and is a string.
std::optional<std::string> stringField(const nlohmann::json &object, const char *name);
/// Returns the number if it is an integer that 64 bits without a sign can hold.
std::optional<std::uint64_t> toUint(const nlohmann::json &value);
/// Returns the member if it exists and toUint() returns a value.
std::optional<std::uint64_t> uintField(const nlohmann::json &object, const char *name);
/// Returns the member if it exists and is a number.
std::optional<double> numberField(const nlohmann::json &object, const char *name);
/// Returns the member if it exists and is a Boolean.
std::optional<bool> boolField(const nlohmann::json &object, const char *name);
/// Returns the member if it exists and is an array; otherwise an empty array.
const nlohmann::json &arrayField(const nlohmann::json &object, const char *name);

} // namespace monsoonsail
