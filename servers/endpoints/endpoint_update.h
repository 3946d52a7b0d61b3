#pragma once

#include "servers/endpoints/endpoint_registry.h"
#include "servers/mesh/bulletin.h"

namespace monsoonsail {

/// Returns the update that describes the endpoint's present state, for a bulletin.
EndpointUpdate makeEndpointUpdate(const Endpoint &endpoint, Instant now);

/// Applies an update from a bulletin unless a later record is known. `clockOffset` is the author's
/// clock minus the local clock.
void applyEndpointUpdate(const EndpointUpdate &update, Duration clockOffset,
                         EndpointRegistry &endpoints, Instant now);

} // namespace monsoonsail
