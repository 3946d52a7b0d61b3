#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"

#include <optional>

namespace monsoonsail {

/// Result of admission control.
struct AdmissionDecision
{
    ErrorKind error = ErrorKind::None; ///< Why the request is refused; None if it is admitted.
    std::optional<Instant> retryAt;    ///< When the caller of a refused request should try again.
};

/// Sets the route, client account, service and deadline of a new request and charges the allowance
/// of the account.
AdmissionDecision admitRequest(RequestRecord &record, ServingContext &context, Instant now);

} // namespace monsoonsail
