#include "servers/serving/request_runs.h"

#include <algorithm>

namespace monsoonsail {

void RequestRuns::begin(AttemptNumber attempt, const EndpointId &endpoint)
{
    m_runs.push_back({.attempts = {attempt}, .endpoints = {endpoint}});
}

void RequestRuns::beginContinuation(AttemptNumber attempt, const EndpointId &endpoint,
                                    AttemptNumber movedFrom)
{
    const auto run = std::ranges::find_if(m_runs, [movedFrom](const Run &candidate) {
        return std::ranges::find(candidate.attempts, movedFrom) != candidate.attempts.end();
    });
    if (run == m_runs.end()) {
        begin(attempt, endpoint);
        return;
    }
    run->attempts.push_back(attempt);
    run->endpoints.push_back(endpoint);
}

void RequestRuns::withdraw(AttemptNumber attempt)
{
    for (Run &run : m_runs) {
        const auto entry = std::ranges::find(run.attempts, attempt);
        if (entry == run.attempts.end())
            continue;
        run.endpoints.erase(run.endpoints.begin() + (entry - run.attempts.begin()));
        run.attempts.erase(entry);
    }
    std::erase_if(m_runs, [](const Run &run) { return run.attempts.empty(); });
}

bool RequestRuns::includes(const EndpointId &endpoint) const
{
    return std::ranges::any_of(m_runs, [&endpoint](const Run &run) {
        return std::ranges::find(run.endpoints, endpoint) != run.endpoints.end();
    });
}

} // namespace monsoonsail
