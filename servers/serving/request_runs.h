#pragma once

#include "core/identifiers.h"

#include <vector>

namespace monsoonsail {

/// The runs of a request. Attempts that may have run count, also those that were cancelled: they
/// may still be on their way. A run that was moved to another endpoint is one run.
class RequestRuns
{
public:
    /// A run, with the endpoints between which it was moved.
    struct Run
    {
        std::vector<AttemptNumber> attempts;
        std::vector<EndpointId> endpoints;
    };

    void begin(AttemptNumber attempt, const EndpointId &endpoint);
    /// Records that an attempt continues the run of an earlier one.
    void beginContinuation(AttemptNumber attempt, const EndpointId &endpoint,
                           AttemptNumber movedFrom);
    /// Records that the attempt did not run. If it was to continue a run, that one still counts.
    void withdraw(AttemptNumber attempt);

    const std::vector<Run> &all() const { return m_runs; }
    /// Whether one of the runs is or was on the endpoint.
    bool includes(const EndpointId &endpoint) const;
    unsigned count() const { return static_cast<unsigned>(m_runs.size()); }

private:
    std::vector<Run> m_runs;
};

} // namespace monsoonsail
