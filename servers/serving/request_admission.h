#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"

#include <optional>

namespace monsoonsail {

/// Whether a request is let in.
struct AdmissionDecision
{
    ErrorKind error = ErrorKind::None; ///< Why it is refused, or None.
    std::optional<Instant> retryAt;    ///< When a refused request is worth another try.
};

/// Finds route, account and service of a request that has arrived, sets its deadline and charges
/// its account's allowance.
AdmissionDecision admitRequest(RequestRecord &record, ServingContext &context, Instant now);

} // namespace monsoonsail
