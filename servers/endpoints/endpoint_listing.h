#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace monsoonsail {

/// What an endpoint says of itself at the platform.
struct EndpointListing
{
    std::string instance;        ///< Name; it may be used again by a later incarnation.
    std::int64_t startedMs = 0;  ///< Start of this incarnation, in ms since 1970 by its own clock.
    std::uint64_t sequence = 0;  ///< Counts the reports of this incarnation.
    std::uint64_t logOffset = 0; ///< Place in the list's log; later entries replace earlier ones.
    ServiceId service;
    std::string address; ///< "IP:port".
    ZoneId zone;
    unsigned slots = 1; ///< Requests that it runs at once.
    bool isLeaving = false;
    bool isReclaimable = false;
    std::optional<Instant> leavesAt; ///< When a leaving endpoint ends, if it says so.
    Instant coldUntil;               ///< It is slow until then, after its start.
};

} // namespace monsoonsail
