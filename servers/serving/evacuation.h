#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/serving/request_record.h"

#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// A run that has to be moved off its endpoint.
struct Evacuation
{
    enum class Kind {
        Move,    ///< It has sent events; its KV cache is moved to another endpoint.
        Restart, ///< It has sent no events and may be started on another endpoint.
    };
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    Kind kind = Kind::Move;
};

/// Returns when an endpoint is expected to end, as far as is known; Instant::max() if it is ready.
/// `drainTime` is the minimum time for which leaving endpoints keep serving.
Instant expectedEnd(const Endpoint &endpoint, Duration drainTime);

/// Returns the streams that would soon be interrupted by the end of their endpoints.
std::vector<Evacuation>
dueEvacuations(const std::unordered_map<RequestNumber, RequestRecord> &requests,
               const EndpointRegistry &endpoints, Duration drainTime, Instant now);

} // namespace monsoonsail
