#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>

namespace monsoonsail {

/// Events of a running stream that were relayed since the last report.
struct StreamProgress
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    std::uint32_t events = 0;
    /// Last event with an id that the caller has; empty if it has none.
    std::optional<EventId> lastEvent;
    Instant firstEventAt; ///< First of these events.
    Instant lastEventAt;
    Duration longestPause{}; ///< Between two of these events.
};

} // namespace monsoonsail
