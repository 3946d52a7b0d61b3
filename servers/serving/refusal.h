#pragma once

#include "core/error_kind.h"
#include "core/identifiers.h"
#include "core/instant.h"

#include <optional>

namespace monsoonsail {

/// A final answer of our own.
struct Refusal
{
    RequestNumber request = 0;
    ErrorKind kind = ErrorKind::Internal;
    std::optional<Instant> retryAt; ///< When a later try makes sense.
};

} // namespace monsoonsail
