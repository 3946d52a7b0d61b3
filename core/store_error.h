#pragma once

#include <system_error>

namespace monsoonsail {

/// Why a call to the platform's store did not succeed. Zero means no error.
enum class StoreError {
    None = 0,
    Unreachable, ///< No answer. The call may have been executed, or may be later.
    Busy,        ///< Refused for now; nothing was done.
    Conflict,    ///< A condition of the call does not hold; nothing was done.
    Expired,     ///< The records asked for are no longer kept.
    Malformed,   ///< The answer can't be read.
    Rejected,    ///< Refused for good; nothing was done.
};

const std::error_category &storeCategory();
std::error_code make_error_code(StoreError error); // NOLINT(readability-identifier-naming)

} // namespace monsoonsail

template <>
struct std::is_error_code_enum<monsoonsail::StoreError> : std::true_type
{ };
