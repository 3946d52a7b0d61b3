#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_listing.h"

namespace monsoonsail {

/// Whether an endpoint may be given work.
enum class EndpointState {
    Ready,
    Unlisted, ///< The list has no entry for it: it has ended, or the entry has lapsed.
    Leaving,  ///< It has announced that it ends; it never takes new work again.
};

/// What this entry instance knows about one incarnation of an endpoint.
struct Endpoint
{
    EndpointId id;
    EndpointListing listing;
    /// Offset in the list's log of the newest applied record: an entry or its removal.
    std::uint64_t logOffset = 0;
    /// Whether that record lists it as ready. An endpoint that has announced its end only in its
    /// answers may still be listed.
    bool isListed = false;
    /// Position of the entry, from a copy of the store, that did not make it ready again.
    LogOffset copiedOffset = 0;
    EndpointState state = EndpointState::Ready;
    Instant stateSince;
    /// An unlisted endpoint may be used until this instant, since its entry may only have lapsed.
    Instant usableUntil = Instant::min();

    bool isUsable(Instant now) const
    {
        return state == EndpointState::Ready
                || (state == EndpointState::Unlisted && usableUntil > now);
    }
};

} // namespace monsoonsail
