#include "servers/serving/run_allowance.h"

#include "servers/serving/endpoint_end.h"

#include <algorithm>

namespace monsoonsail {

namespace {
/// Runs in addition to the attempts of the route, to replace runs whose endpoints have ended.
constexpr unsigned maxExtraRuns = 1;
} // namespace

RunAllowance runAllowance(const RequestRecord &record, const ServingContext &context, Instant now)
{
    RunAllowance allowance;
    for (const RequestRuns::Run &run : record.runs.all()) {
        const bool hasEnded = std::ranges::all_of(run.endpoints, [&](const EndpointId &endpoint) {
            return evidenceOfEnd(endpoint, context, now) != EndEvidence::None;
        });
        const EndpointId &last = run.endpoints.back();
        if (hasEnded)
            allowance.excused.push_back(
                    {.endpoint = last,
                     .reason = endEvidenceName(evidenceOfEnd(last, context, now))});
    }
    allowance.runs = record.route->maxAttempts
            + std::min(static_cast<unsigned>(allowance.excused.size()), maxExtraRuns);
    return allowance;
}

} // namespace monsoonsail
