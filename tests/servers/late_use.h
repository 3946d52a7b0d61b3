#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <string>

namespace monsoonsail {

/// Use of an endpoint by an instance in touch, later than the drain time after its end.
struct LateUse
{
    std::string instance;
    EndpointId endpoint;
    Instant endedAt;
    Instant lastAt; ///< Until when the instance was seen to use the endpoint.
    Duration allowed{};
};

} // namespace monsoonsail
