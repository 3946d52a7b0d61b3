#include "servers/serving/evacuation.h"

#include <algorithm>
#include <cstddef>

namespace monsoonsail {

namespace {

/// Streams are moved this long before the end of their endpoint: the notice may be half a second
/// old when it is read, and a move waits for others on the same link. A longer time would
/// also move streams that end in time by themselves.
constexpr Duration evacuationLeadTime = std::chrono::milliseconds(800);
/// Limit on the orders to stop a run that one endpoint gets; failed moves are repeated. It holds
/// beyond an attempt: a run that returns to its source goes on as another one.
constexpr std::size_t maxOrders = 2;

} // namespace

Instant expectedEnd(const Endpoint &endpoint, Duration drainTime)
{
    if (endpoint.state == EndpointState::Ready)
        return Instant::max();
    if (endpoint.state == EndpointState::Leaving && endpoint.listing.leavesAt)
        return *endpoint.listing.leavesAt;
    return endpoint.stateSince + drainTime;
}

std::vector<Evacuation>
dueEvacuations(const std::unordered_map<RequestNumber, RequestRecord> &requests,
               const EndpointRegistry &endpoints, Duration drainTime, Instant now)
{
    std::vector<EndpointId> leaving;
    for (const auto &[id, endpoint] : endpoints.all()) {
        // A move that fails may send the run back to its source, which is allowed until its drain
        // time is over, however long it serves.
        const Instant end =
                std::min(expectedEnd(endpoint, drainTime), endpoint.stateSince + drainTime);
        if (!endpoint.isUsable(now) && end - evacuationLeadTime <= now)
            leaving.push_back(id);
    }
    std::vector<Evacuation> due;
    if (leaving.empty())
        return due;
    for (const auto &[number, record] : requests) {
        if (record.runningAttempts.empty() || !record.isStream() || !record.service->engine)
            continue;
        for (const RunningAttempt &attempt : record.runningAttempts) {
            if (attempt.moveState != RunningAttempt::MoveState::None || attempt.isBeingReplaced()
                || record.stopOrders.countAt(attempt.endpoint) >= maxOrders
                || std::ranges::find(leaving, attempt.endpoint) == leaving.end())
                continue;
            if (attempt.hasEvents && record.service->engine->canMoveRuns)
                due.push_back({.request = number, .attempt = attempt.number});
            else if (!attempt.hasEvents && record.isIdempotent())
                due.push_back({.request = number,
                               .attempt = attempt.number,
                               .kind = Evacuation::Kind::Restart});
        }
    }
    return due;
}

} // namespace monsoonsail
