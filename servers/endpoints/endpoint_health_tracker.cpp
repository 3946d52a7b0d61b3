#include "servers/endpoints/endpoint_health_tracker.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Time constant of the exponential decay of the counts of attempts.
constexpr double outcomeDecaySeconds = 4.0;
/// Weight of the newest answer in the moving average of answer times.
constexpr double newestAnswerWeight = 0.15;
/// An endpoint is silent after silenceBaseTimeout + singleStreamTimeout / (number of streams)
/// without an event. A stream has an event every six engine steps, and a step with a chunk of a
/// prompt takes about 70 ms, so a single stream may pause for half a second. Events of several
/// streams interleave, which shortens the pauses.
constexpr Duration silenceBaseTimeout = std::chrono::milliseconds(300);
constexpr Duration singleStreamTimeout = std::chrono::milliseconds(500);
/// Time after which a silent endpoint is used again.
constexpr Duration suspicionTime = std::chrono::milliseconds(2000);
constexpr Duration refusalSuspicionTime = std::chrono::milliseconds(500);
/// Unavoidable runs that one instance may send to an endpoint that is closed to it.
constexpr unsigned maxUnavoidableRuns = 2;
/// Peers repeat their suspicions in every digest, so a suspicion that is no longer reported ends
/// soon.
constexpr Duration peerSuspicionTime = std::chrono::milliseconds(700);

} // namespace

void EndpointHealthTracker::recordAttemptStart(AttemptNumber attempt, const EndpointId &endpoint,
                                               bool isStream, Instant now)
{
    m_attempts[attempt] = {.endpoint = endpoint, .startedAt = now, .isStream = isStream};
    m_endpoints.try_emplace(endpoint, Health{.lastActivityAt = now, .decayedAt = now});
}

void EndpointHealthTracker::recordStreamEvent(AttemptNumber attempt, Instant at)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end())
        return;
    Health &health = m_endpoints[entry->second.endpoint];
    if (!entry->second.hasEvents) {
        entry->second.hasEvents = true;
        ++health.activeStreams;
    }
    health.lastActivityAt = std::max(health.lastActivityAt, at);
    health.suspectUntil = std::min(health.suspectUntil, at);
}

void EndpointHealthTracker::recordAttemptEnd(AttemptNumber number, EndpointVerdict verdict,
                                             Instant now)
{
    const auto entry = m_attempts.find(number);
    if (entry == m_attempts.end())
        return;
    const Attempt attempt = entry->second;
    m_attempts.erase(entry);
    Health &health = m_endpoints[attempt.endpoint];
    if (attempt.hasEvents && health.activeStreams > 0)
        --health.activeStreams;
    decay(health, now);
    switch (verdict) {
    case EndpointVerdict::Succeeded: {
        health.succeeded += 1;
        health.lastActivityAt = now;
        const double answerMs = toMs(now - attempt.startedAt);
        health.typicalAnswerMs = health.typicalAnswerMs == 0
                ? answerMs
                : health.typicalAnswerMs + newestAnswerWeight * (answerMs - health.typicalAnswerMs);
        break;
    }
    case EndpointVerdict::Failed:
        health.failed += 1;
        break;
    case EndpointVerdict::Refused:
        health.failed += 1;
        health.suspectUntil = std::max(health.suspectUntil, now + refusalSuspicionTime);
        break;
    case EndpointVerdict::Inconclusive:
        break;
    }
}

void EndpointHealthTracker::recordPeerSuspicion(EndpointHash endpoint, Instant now)
{
    m_peerSuspectUntil[endpoint] = now + peerSuspicionTime;
}

bool EndpointHealthTracker::isSuspectedByPeers(const EndpointId &endpoint, Instant now) const
{
    if (m_peerSuspectUntil.empty())
        return false;
    const auto entry = m_peerSuspectUntil.find(endpoint);
    return entry != m_peerSuspectUntil.end() && entry->second > now;
}

void EndpointHealthTracker::closeUntil(const EndpointId &endpoint, Instant until)
{
    Closure &closure = m_closed[endpoint];
    closure.until = std::max(closure.until, until);
}

void EndpointHealthTracker::remove(const EndpointId &endpoint)
{
    m_endpoints.erase(endpoint);
    m_closed.erase(endpoint);
}

Instant EndpointHealthTracker::closedUntil(const EndpointId &endpoint, Instant now) const
{
    if (m_closed.empty())
        return Instant::min();
    const auto entry = m_closed.find(endpoint);
    return entry != m_closed.end() && entry->second.until > now ? entry->second.until
                                                                : Instant::min();
}

bool EndpointHealthTracker::admitUnavoidableRun(const EndpointId &endpoint, Instant now)
{
    std::erase_if(m_closed, [now](const auto &entry) { return entry.second.until <= now; });
    const auto entry = m_closed.find(endpoint);
    return entry == m_closed.end() || ++entry->second.unavoidableRuns <= maxUnavoidableRuns;
}

double EndpointHealthTracker::failureRate(const EndpointId &endpoint, Instant now) const
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return 0;
    Health health = entry->second;
    decay(health, now);
    // One success is assumed, so that a single failure doesn't mark the endpoint as always failing.
    return health.failed / (health.failed + health.succeeded + 1);
}

Duration EndpointHealthTracker::typicalAnswerTime(const EndpointId &endpoint) const
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return {};
    return fromMs(entry->second.typicalAnswerMs);
}

bool EndpointHealthTracker::isSuspect(const EndpointId &endpoint, Instant now) const
{
    return isSuspectLocally(endpoint, now) || isSuspectedByPeers(endpoint, now);
}

bool EndpointHealthTracker::isSuspectLocally(const EndpointId &endpoint, Instant now) const
{
    const auto entry = m_endpoints.find(endpoint);
    return entry != m_endpoints.end() && entry->second.suspectUntil > now;
}

std::vector<EndpointId> EndpointHealthTracker::detectSilent(Instant now)
{
    std::vector<EndpointId> silent;
    for (auto &[id, health] : m_endpoints) {
        if (health.activeStreams == 0 || health.suspectUntil > now)
            continue;
        if (health.lastActivityAt + silenceBaseTimeout + singleStreamTimeout / health.activeStreams
            > now)
            continue;
        health.suspectUntil = now + suspicionTime;
        silent.push_back(id);
    }
    detectSilentByPeers(silent, now);
    std::erase_if(m_peerSuspectUntil, [now](const auto &entry) { return entry.second <= now; });
    return silent;
}

// If this instance has no other streams on the endpoint, a missing first event may mean a long
// queue or a dead engine. Peers with active streams on the endpoint can tell which.
void EndpointHealthTracker::detectSilentByPeers(std::vector<EndpointId> &silent, Instant now)
{
    const Instant silentSince = now - silenceBaseTimeout - singleStreamTimeout;
    for (const auto &[number, attempt] : m_attempts) {
        if (!attempt.isStream || attempt.hasEvents || attempt.startedAt > silentSince)
            continue;
        Health &health = m_endpoints[attempt.endpoint];
        if (health.peerSuspicionUsedUntil > now || health.lastActivityAt > silentSince
            || !isSuspectedByPeers(attempt.endpoint, now))
            continue;
        health.peerSuspicionUsedUntil = now + suspicionTime;
        silent.push_back(attempt.endpoint);
    }
}

void EndpointHealthTracker::decay(Health &health, Instant now)
{
    const double seconds = toSeconds(now - health.decayedAt);
    if (seconds <= 0)
        return;
    const double kept = std::exp(-seconds / outcomeDecaySeconds);
    health.succeeded *= kept;
    health.failed *= kept;
    health.decayedAt = now;
}

} // namespace monsoonsail
