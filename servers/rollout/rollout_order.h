#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

namespace monsoonsail {

/// An operator's order to replace the software version of a service.
struct RolloutOrder
{
    ServiceId service;
    SoftwareVersion target;
    Duration allowedTime{}; ///< From the order until it must be completed or rolled back.
    LogOffset position = 0; ///< Position in the store.
    Instant orderedAt;      ///< As far as this instance knows.
};

} // namespace monsoonsail
