#pragma once

#include "core/identifiers.h"
#include "servers/endpoints/endpoint.h"

#include <optional>

namespace monsoonsail {

/// A run for which the endpoints are looked for that it may use.
struct RolloutRun
{
    ServiceId service;
    /// Version that began its stream, once the caller has an event of it.
    std::optional<SoftwareVersion> software;
    bool isSampled = false; ///< See RolloutTraffic::sample().
    bool isFirst = true;    ///< Whether the request has had no attempt yet.
};

/// A usable endpoint of the service of a run.
struct RolloutCandidate
{
    const Endpoint *endpoint = nullptr;
    /// Whether the run may be sent to it now: it is not closed or limited, has a version at which
    /// the run may begin, and the request does not run on it already.
    bool isFree = false;
    bool isTried = false; ///< Whether it failed or declined the request.
    bool isSuspect = false;
};

} // namespace monsoonsail
