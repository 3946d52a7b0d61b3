#pragma once

#include <string>

namespace monsoonsail {

/// Serializes a JSON value. Bytes that are not UTF-8 become U+FFFD: ids and names come from
/// callers, endpoints and the store, and must not end the process.
template <typename Json>
std::string toJsonText(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace monsoonsail
