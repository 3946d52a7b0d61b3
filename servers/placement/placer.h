#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint.h"
#include "servers/placement/placement.h"

#include <optional>
#include <span>

namespace monsoonsail {

/// How an attempt ended, as far as its endpoint is concerned.
enum class EndpointVerdict {
    Good,
    Failed,    ///< It failed, fell silent or broke off.
    Refused,   ///< It declined, or did not accept a connection.
    Unrelated, ///< It was cancelled for reasons of our own.
};

/// Chooses endpoints for requests and keeps count of the work that it has placed.
class Placer
{
public:
    virtual ~Placer() = default;

    /// Returns the best of `candidates`, all endpoints of the request's service, or nothing.
    virtual std::optional<Placement> place(const PlacementRequest &request,
                                           std::span<const Endpoint *const> candidates,
                                           Instant now) = 0;
    /// Told that an attempt with this number begins at an endpoint.
    virtual void started(AttemptNumber attempt, const PlacementRequest &request,
                         const EndpointId &endpoint, Instant now) = 0;
    /// Told of events, or of the first byte of another answer.
    virtual void progressed(AttemptNumber attempt, std::uint32_t events, Instant now) = 0;
    virtual void ended(AttemptNumber attempt, EndpointVerdict verdict, Instant now) = 0;
    virtual void removed(const EndpointId &endpoint) = 0;
};

} // namespace monsoonsail
