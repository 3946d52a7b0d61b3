#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/serving/request_record.h"

#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// A run that has to leave its endpoint.
struct Evacuation
{
    enum class Kind {
        Move,    ///< It has begun; its memory is moved to another endpoint.
        Restart, ///< It has not begun and may start elsewhere.
    };
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    Kind kind = Kind::Move;
};

/// Returns when an endpoint that leaves ends as far as is known; Instant::max() if it stays.
/// `drainTime` is how long endpoints serve on at least.
Instant expectedEnd(const Endpoint &endpoint, Duration drainTime);

/// Returns the streams that would be cut off soon because their endpoints leave.
std::vector<Evacuation>
dueEvacuations(const std::unordered_map<RequestNumber, RequestRecord> &requests,
               const EndpointRegistry &endpoints, Duration drainTime, Instant now);

} // namespace monsoonsail
