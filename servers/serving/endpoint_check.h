#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <string>

namespace monsoonsail {

/// Parameters of a status check of an endpoint.
struct EndpointCheck
{
    EndpointId endpoint;
    std::string address; ///< "IP:port"
    Instant deadline;
};

/// Reports the end of a status check.
struct EndpointCheckEnd
{
    EndpointId endpoint;
    /// False if there was no answer in time. An error status or a reset counts as an answer, and a
    /// check that could not be sent shows nothing.
    bool isResponsive = false;
};

} // namespace monsoonsail
