#pragma once

#include "core/instant.h"
#include "servers/endpoints/endpoint.h"

#include <vector>

namespace monsoonsail {

/// A recent change of an endpoint.
struct EndpointUpdate
{
    /// Its instants are by the clock of the bulletin's author. Of an endpoint that leaves, only its
    /// names and when it ends are told.
    EndpointListing listing;
    EndpointState state = EndpointState::Ready;
    Instant usableUntil = Instant::min(); ///< See Endpoint; Instant::min() for never.
};

/// Changes of endpoints that an entry instance tells others of, apart from its digests.
struct Bulletin
{
    Instant sentAt;              ///< By the author's clock.
    bool needsZoneRelay = false; ///< Whether the receiver passes it on in its availability zone.
    std::vector<EndpointUpdate> updates;
};

} // namespace monsoonsail
