#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"
#include "servers/placement/placement.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace monsoonsail {

/// Chooses endpoints for requests and tracks the load that results.
class Placer
{
public:
    virtual ~Placer() = default;

    /// Returns the best of `candidates`, which are endpoints of the service of the request, or
    /// std::nullopt if there are none.
    virtual std::optional<Placement> place(const PlacementRequest &request,
                                           std::span<const Endpoint *const> candidates,
                                           Instant now) = 0;
    /// Records that an attempt is started on the endpoint of a placement.
    virtual void recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                                    const Placement &placement, Instant now) = 0;
    /// Records events of a stream.
    virtual void recordProgress(AttemptNumber attempt, std::uint32_t events, Instant now) = 0;
    /// Records that the whole answer of an attempt has arrived, before the attempt's end.
    virtual void recordAnswer(AttemptNumber /*attempt*/, Instant /*now*/) { }
    virtual void recordAttemptEnd(AttemptNumber attempt, Instant now) = 0;
    virtual void removeEndpoint(const EndpointId &endpoint) = 0;

    /// Applies the loads in a peer's newest digest.
    virtual void applyPeerDigest(const Peer &peer, Instant now) = 0;
    /// Returns the number of requests of all entry instances that run on an endpoint.
    virtual double runningRequests(const EndpointId &endpoint) const = 0;
    /// Returns the load that this instance has placed, for its digest.
    virtual std::vector<Digest::EndpointLoad> ownLoads(Instant now) const = 0;
    /// Returns what this instance has measured about at most `maxCount` endpoints since they were
    /// last returned, for its digest.
    virtual std::vector<Digest::EndpointSpeed> takeUnsentSpeeds(std::size_t /*maxCount*/)
    {
        return {};
    }
};

} // namespace monsoonsail
