#pragma once

#include "core/error_kind.h"
#include "core/identifiers.h"
#include "core/instant.h"

#include <optional>

namespace monsoonsail {

/// An error answer that this instance gives to a request.
struct Refusal
{
    RequestNumber request = 0;
    ErrorKind kind = ErrorKind::Internal;
    std::optional<Instant> retryAt; ///< When the caller should try again.
};

} // namespace monsoonsail
