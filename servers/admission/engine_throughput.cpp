#include "servers/admission/engine_throughput.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
/// Requests of the largest size that chance may bring together.
constexpr double startMargin = 2;
/// Own runs, times the seconds that they have taken, from which the throughput is known.
constexpr double minOwnSeconds = 0.5;
/// After a pause, less is completed than started until the first runs have ended.
constexpr Duration warmUpTime = std::chrono::seconds(4);
/// Longest time for which a number of running requests is taken to hold.
constexpr Duration maxRecordInterval = std::chrono::milliseconds(200);
} // namespace

void EngineThroughput::recordStart(AttemptNumber attempt, double cost, Instant now)
{
    if (m_runs.empty() && m_ownRunning.at(now) < minOwnSeconds)
        m_loadedSince = now;
    m_runs[attempt] = cost;
    m_startedCost.add(cost, now);
    m_largestCost = std::max(m_largestCost, cost);
}

void EngineThroughput::recordEnd(AttemptNumber attempt, bool hasRun, Instant now)
{
    const auto run = m_runs.find(attempt);
    if (run == m_runs.end())
        return;
    if (hasRun)
        m_endedCost.add(run->second, now);
    m_runs.erase(run);
}

void EngineThroughput::recordRunning(double running, Instant now)
{
    const double seconds =
            toSeconds(std::min(now - std::exchange(m_recordedAt, now), maxRecordInterval));
    m_ownRunning.add(static_cast<double>(m_runs.size()) * seconds, now);
    m_allRunning.add(std::max(running, static_cast<double>(m_runs.size())) * seconds, now);
}

std::optional<double> EngineThroughput::costPerSecond(Instant now) const
{
    const double own = m_ownRunning.at(now);
    if (own < minOwnSeconds || now < m_loadedSince + warmUpTime)
        return std::nullopt;
    return m_endedCost.perSecond(now) * m_allRunning.at(now) / own;
}

double EngineThroughput::startedPerSecond(Instant now) const
{
    return std::max(0.0, m_startedCost.at(now) - startMargin * m_largestCost) / startSeconds;
}

} // namespace monsoonsail
