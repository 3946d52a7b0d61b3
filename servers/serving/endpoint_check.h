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
    Instant watchUntil; ///< An answer after the deadline is still reported until this instant.
};

/// Reports the end of a status check.
struct EndpointCheckEnd
{
    EndpointId endpoint;
    /// False if there was no answer in time. An error status or a reset counts as an answer.
    bool isResponsive = false;
    /// False if the check was not sent in time, or this instance was held up until after its
    /// deadline. It then shows nothing.
    bool isConclusive = true;
    /// Whether the endpoint has answered after the deadline, at which the check was reported as
    /// unanswered.
    bool isLate = false;
};

} // namespace monsoonsail
