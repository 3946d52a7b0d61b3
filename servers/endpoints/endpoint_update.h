#pragma once

#include "servers/endpoints/endpoint_registry.h"
#include "servers/mesh/bulletin.h"

namespace monsoonsail {

/// Returns what is known of an endpoint, for a bulletin.
EndpointUpdate makeEndpointUpdate(const Endpoint &endpoint);

/// Takes over what a bulletin tells, unless something later is known. `clockOffset` is how far its
/// author's clock is ahead.
void applyEndpointUpdate(const EndpointUpdate &update, Duration clockOffset,
                         EndpointRegistry &endpoints, Instant now);

} // namespace monsoonsail
