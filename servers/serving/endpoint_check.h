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
    /// Whether its machine has answered in any way: an error status or a reset also count.
    bool isResponsive = false;
};

} // namespace monsoonsail
