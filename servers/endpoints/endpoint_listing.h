#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace monsoonsail {

/// Entry in which an endpoint describes itself in the platform's store. The list of endpoints is
/// the topic of the store that holds these entries.
struct EndpointListing
{
    std::string instance;        ///< Name of the instance; a later incarnation may reuse it.
    std::int64_t startedMs = 0;  ///< Start of this incarnation, in ms since 1970 by its own clock.
    std::uint64_t sequence = 0;  ///< Number of this entry among those of the incarnation.
    std::uint64_t logOffset = 0; ///< Offset in the list's log; later entries replace earlier ones.
    ServiceId service;
    SoftwareVersion software; ///< Not the version of the model's weights.
    std::string address;      ///< "IP:port".
    ZoneId zone;
    unsigned slots = 1; ///< Requests that it runs concurrently.
    bool isLeaving = false;
    bool isReclaimable = false;
    std::optional<Instant> leavesAt; ///< When a leaving endpoint ends, if it announced that.
    Instant coldUntil;               ///< End of its cold start, during which it is slow.
};

} // namespace monsoonsail
