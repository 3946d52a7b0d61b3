#pragma once

#include "servers/quarantine/crash_suspect.h"
#include "servers/quarantine/part_verdict.h"

#include <cstdint>
#include <functional>
#include <set>

namespace monsoonsail {

/// Decides from the ends of endpoints which prompt parts are not simply sent on. `hasAnswered`
/// tells whether an endpoint is known to have answered on a part. Times other than the last end are
/// not set.
PartVerdicts findVerdicts(const CrashSuspects &suspects, const EndpointEnds &ends,
                          const std::function<bool(PartHash)> &hasAnswered);

/// What the ends of endpoints say about a request.
struct RequestEvidence
{
    /// Separate ends that one of its parts has caused, unless they were chance.
    std::uint32_t conclusiveEnds = 0;
    Instant lastConclusiveAt = Instant::min();
    std::uint32_t lateEnds = 0;            ///< Of one of its parts, long after the first ones.
    std::uint32_t unexplainedLateEnds = 0; ///< Those that no part explains which it lacks.
};

RequestEvidence weighEvidence(const std::set<PartHash> &parts, const PartVerdicts &verdicts,
                              const CrashSuspects &suspects, const EndpointEnds &ends);

/// Whether a run of the request may show that some of its parts are sound. It may not if they hold
/// all that endpoints may have ended under, or if too many have ended already.
bool tellsApart(const RequestEvidence &evidence);

/// Returns the time from the last end until a request that tells nothing apart is tried again. All
/// its ends may have been chance, and then only its run can show that.
Duration trialDelay(const RequestEvidence &evidence);

} // namespace monsoonsail
