#include "servers/endpoints/endpoint_update.h"

namespace monsoonsail {

EndpointUpdate makeEndpointUpdate(const Endpoint &endpoint)
{
    EndpointUpdate update{.listing = endpoint.listing,
                          .state = endpoint.state,
                          .usableUntil = endpoint.usableUntil};
    update.listing.logOffset = endpoint.logOffset;
    return update;
}

// The place in the list's log decides what is later. When a peer has learned something does not:
// one that has just started or woken learns old things late, and would tell them as new.
void applyEndpointUpdate(const EndpointUpdate &update, Duration clockOffset,
                         EndpointRegistry &endpoints, Instant now)
{
    EndpointListing listing = update.listing;
    listing.coldUntil -= clockOffset;
    if (listing.leavesAt)
        *listing.leavesAt -= clockOffset;
    const EndpointId id = endpointId(listing.instance, listing.startedMs);
    // What was read of the list beyond this place would name the endpoint if it were still there.
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
        break;
    }
    case EndpointState::Leaving:
        // What is remembered of an unknown one keeps older entries from reviving it.
        if (!isKnown)
            endpoints.applyListing(listing, now);
        endpoints.markLeaving(id, now, listing.leavesAt);
        break;
    }
}

} // namespace monsoonsail
