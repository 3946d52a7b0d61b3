#include "servers/endpoints/endpoint_update.h"

namespace monsoonsail {

EndpointUpdate makeEndpointUpdate(const Endpoint &endpoint, Instant now)
{
    EndpointUpdate update{.listing = endpoint.listing,
                          .state = endpoint.state,
                          .isListed = endpoint.isListed,
                          .age = now - endpoint.stateSince,
                          .usableUntil = endpoint.usableUntil};
    update.listing.logOffset = endpoint.logOffset;
    return update;
}

// Updates are ordered by their offset in the list's log. The time at which a peer learned of a
// change doesn't give the order: a peer that has just started, or was paused, learns of old changes
// late and would send them as new.
void applyEndpointUpdate(const EndpointUpdate &update, Duration clockOffset,
                         EndpointRegistry &endpoints, Instant now)
{
    EndpointListing listing = update.listing;
    listing.coldUntil -= clockOffset;
    if (listing.leavesAt)
        *listing.leavesAt -= clockOffset;
    const EndpointId id = endpointId(listing.instance, listing.startedMs);
    // The list has been read beyond this offset, so an endpoint that is still listed is known.
    const bool isKnown = endpoints.find(id) != nullptr;
    if (!isKnown && endpoints.hasRead(listing.logOffset))
        return;
    switch (update.state) {
    case EndpointState::Ready:
        endpoints.applyListing(listing, now);
        break;
    case EndpointState::Unlisted: {
        if (!isKnown)
            endpoints.applyListing(listing, now);
        const Instant never = Instant::min();
        const Instant usableUntil =
                update.usableUntil == never ? never : update.usableUntil - clockOffset;
        endpoints.markUnlisted(listing.instance, listing.logOffset, usableUntil, now);
        // A copy of the store may list an endpoint that has been dropped, with an entry that only
        // the readers have seen.
        endpoints.raiseSequence(id, listing.sequence);
        endpoints.applyListState(id, listing.logOffset, update.isListed, now);
        break;
    }
    case EndpointState::Leaving:
        // An unknown endpoint is added first, so that older entries can't make it usable later.
        if (!isKnown)
            endpoints.applyListing(listing, now);
        endpoints.markLeaving(id, now, listing.leavesAt);
        endpoints.applyListState(id, listing.logOffset, update.isListed, now);
        break;
    }
}

} // namespace monsoonsail
