#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"

#include <string_view>
#include <vector>

namespace monsoonsail {

/// A run that does not count against the attempts that the route allows.
struct ExcusedRun
{
    EndpointId endpoint;
    std::string_view reason;
};

/// How many runs a request may have, and why.
struct RunAllowance
{
    unsigned runs = 0;
    std::vector<ExcusedRun> excused;
};

/// Returns how many runs the request may have by what is known now of the endpoints of its runs.
RunAllowance runAllowance(const RequestRecord &record, const ServingContext &context, Instant now);

} // namespace monsoonsail
