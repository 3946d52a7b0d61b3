#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"
#include "servers/placement/placement.h"

#include <optional>
#include <span>
#include <vector>

namespace monsoonsail {

/// Chooses endpoints for requests and keeps count of the work that it has placed.
class Placer
{
public:
    virtual ~Placer() = default;

    /// Returns the best of `candidates`, all endpoints of the request's service, or nothing.
    virtual std::optional<Placement> place(const PlacementRequest &request,
                                           std::span<const Endpoint *const> candidates,
                                           Instant now) = 0;
    /// Told that an attempt begins at the endpoint of a placement.
    virtual void recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                                    const Placement &placement, Instant now) = 0;
    /// Told of events of a stream.
    virtual void recordProgress(AttemptNumber attempt, std::uint32_t events, Instant now) = 0;
    virtual void recordAttemptEnd(AttemptNumber attempt, Instant now) = 0;
    virtual void removeEndpoint(const EndpointId &endpoint) = 0;

    /// Takes over what a peer has placed.
    virtual void recordDigest(const Peer &peer, Instant now) = 0;
    /// Returns the requests that run on an endpoint, by all instances.
    virtual double runningRequests(const EndpointId &endpoint) const = 0;
    /// Returns what this instance has placed, for its digest.
    virtual std::vector<Digest::EndpointLoad> ownLoads(Instant now) const = 0;
};

} // namespace monsoonsail
