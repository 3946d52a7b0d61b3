#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <optional>

namespace monsoonsail {

/// What an answer of an endpoint says about the requests that the endpoint takes.
struct EndpointLimitReport
{
    EndpointId endpoint;
    /// Requests a second from all instances together; empty if the endpoint has no limit.
    std::optional<double> requestsPerSecond;
    bool isInvalid = false; ///< The answer names a limit that is not a usable number.
    Instant receivedAt;
};

} // namespace monsoonsail
