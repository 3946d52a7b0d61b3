#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_listing.h"

namespace monsoonsail {

/// Whether an endpoint may be given work.
enum class EndpointState {
    Ready,
    Unlisted, ///< Its entry is gone. It has left, or the entry has lapsed.
    Leaving,  ///< It has said that it leaves; it takes no new work for good.
};

/// One incarnation of an endpoint as this entry instance knows it.
struct Endpoint
{
    EndpointId id;
    EndpointListing listing;
    /// Place in the list's log of the newest entry, or end of an entry, that was taken over.
    std::uint64_t logOffset = 0;
    EndpointState state = EndpointState::Ready;
    Instant stateSince;
    /// An unlisted endpoint may be used until then, since its entry may only have lapsed.
    Instant usableUntil = Instant::min();

    bool isUsable(Instant now) const
    {
        return state == EndpointState::Ready
                || (state == EndpointState::Unlisted && usableUntil > now);
    }
};

} // namespace monsoonsail
