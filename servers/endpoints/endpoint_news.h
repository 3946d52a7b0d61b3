#pragma once

#include "servers/endpoints/endpoint_registry.h"
#include "servers/mesh/digest.h"

#include <vector>

namespace monsoonsail {

/// Returns what has changed since then, for a digest.
std::vector<Digest::EndpointNews> endpointNews(const EndpointRegistry &endpoints, Instant since);

/// Takes over what a peer tells, unless something later is known. `clockOffset` is how far the
/// peer's clock is ahead.
void applyNews(const Digest::EndpointNews &news, Duration clockOffset, EndpointRegistry &endpoints,
               Instant now);

} // namespace monsoonsail
