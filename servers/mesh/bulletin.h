#pragma once

#include "core/instant.h"
#include "servers/endpoints/endpoint.h"

#include <vector>

namespace monsoonsail {

/// State of an endpoint after a recent change.
struct EndpointUpdate
{
    /// Instants are by the clock of the bulletin's author. For a leaving endpoint, only its
    /// identity and the time of its end are transmitted.
    EndpointListing listing;
    EndpointState state = EndpointState::Ready;
    bool isListed = false;                ///< See Endpoint.
    Duration age{};                       ///< Time since the author learned of the change.
    Instant usableUntil = Instant::min(); ///< See Endpoint; Instant::min() for never.
};

/// Message with changes of endpoints that an entry instance sends to others in addition to digests.
struct Bulletin
{
    Instant sentAt;              ///< By the author's clock.
    bool needsZoneRelay = false; ///< Whether the receiver relays it in its availability zone.
    std::vector<EndpointUpdate> updates;
};

} // namespace monsoonsail
