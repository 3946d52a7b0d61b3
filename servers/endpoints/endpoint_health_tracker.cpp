#include "servers/endpoints/endpoint_health_tracker.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Time constant of the exponential decay of the counts of attempts.
constexpr double outcomeDecaySeconds = 4.0;
/// Weight of the newest answer in the moving average of answer times.
constexpr double newestAnswerWeight = 0.15;
/// The status of an endpoint is checked after checkBaseDelay + singleStreamDelay / (number of
/// streams) without an event. Events of several streams interleave, which shortens the pauses.
/// Engines pause for longer while they read prompts, so the pause alone doesn't mean a failure.
constexpr Duration checkBaseDelay = std::chrono::milliseconds(200);
constexpr Duration singleStreamDelay = std::chrono::milliseconds(300);
/// Minimum time between two checks of an endpoint.
constexpr Duration checkInterval = std::chrono::milliseconds(1500);
/// Time from the begin of a check without an answer to the next one. A sound endpoint may be silent
/// for two seconds.
constexpr Duration confirmationDelay = std::chrono::milliseconds(2100);
/// Time without an event of any stream after which an endpoint has stalled.
constexpr Duration stallTimeout = std::chrono::milliseconds(2500);
/// Time after which an endpoint that has failed or stalled is used again. The platform needs about
/// as long to remove the entry of an endpoint that has failed.
constexpr Duration suspicionTime = std::chrono::milliseconds(4000);
constexpr Duration refusalSuspicionTime = std::chrono::milliseconds(500);
/// Unavoidable runs that one instance may send to an endpoint that is closed to it.
constexpr unsigned maxUnavoidableRuns = 2;

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
    health.silentUntil = std::min(health.silentUntil, at);
    if (at > health.unansweredSince)
        clearUnanswered(health);
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
        clearUnanswered(health);
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

void EndpointHealthTracker::recordPeerSuspicion(EndpointHash endpoint, Instant until)
{
    Instant &suspectUntil = m_peerSuspectUntil[endpoint];
    suspectUntil = std::max(suspectUntil, until);
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

std::vector<EndpointId> EndpointHealthTracker::silentEndpoints(Instant now) const
{
    std::vector<EndpointId> silent;
    for (const auto &[id, health] : m_endpoints) {
        if (health.silentUntil > now)
            silent.push_back(id);
    }
    return silent;
}

void EndpointHealthTracker::markSilent(Health &health, Instant now)
{
    health.silentUntil = now + suspicionTime;
    health.suspectUntil = health.silentUntil;
}

std::vector<EndpointId> EndpointHealthTracker::beginDueChecks(Instant now)
{
    std::erase_if(m_peerSuspectUntil, [now](const auto &entry) { return entry.second <= now; });
    std::vector<EndpointId> due;
    for (auto &[id, health] : m_endpoints) {
        if (health.activeStreams > 0
            && health.lastActivityAt + checkBaseDelay + singleStreamDelay / health.activeStreams
                    <= now
            && mayCheck(health, now)) {
            beginCheck(id, now);
            due.push_back(id);
        }
    }
    for (const auto &[number, attempt] : m_attempts) {
        if (!attempt.isStream || attempt.hasEvents)
            continue;
        Health &health = m_endpoints[attempt.endpoint];
        const Instant waitingSince = std::max(attempt.startedAt, health.lastActivityAt);
        if (waitingSince + firstEventCheckDelay <= now && mayCheck(health, now)) {
            beginCheck(attempt.endpoint, now);
            due.push_back(attempt.endpoint);
        }
    }
    return due;
}

bool EndpointHealthTracker::mayCheck(const Health &health, Instant now)
{
    const bool isFirstUnanswered = health.checkBegunAt == health.unansweredSince;
    const Duration interval = isFirstUnanswered ? confirmationDelay : checkInterval;
    return !health.isCheckRunning && health.checkBegunAt + interval <= now;
}

std::vector<EndpointId> EndpointHealthTracker::unconfirmedSilences(Instant now) const
{
    std::vector<EndpointId> unconfirmed;
    for (const auto &[id, health] : m_endpoints) {
        if (health.checkBegunAt == health.unansweredSince && mayCheck(health, now))
            unconfirmed.push_back(id);
    }
    return unconfirmed;
}

void EndpointHealthTracker::beginCheck(const EndpointId &endpoint, Instant now)
{
    Health &health = m_endpoints[endpoint];
    health.isCheckRunning = true;
    health.checkBegunAt = now;
}

void EndpointHealthTracker::recordAnswer(const EndpointId &endpoint)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry != m_endpoints.end())
        clearUnanswered(entry->second);
}

Duration EndpointHealthTracker::unansweredTime(const EndpointId &endpoint) const
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end() || entry->second.unansweredSince == Instant::max())
        return {};
    return entry->second.unansweredUntil - entry->second.unansweredSince;
}

void EndpointHealthTracker::recordUnansweredCheck(Health &health, Instant now)
{
    const bool isNew = health.unansweredSince == Instant::max()
            || health.unansweredCheckAt + checkWatchTime < health.checkBegunAt;
    if (isNew)
        health.unansweredSince = health.checkBegunAt;
    health.unansweredCheckAt = health.checkBegunAt;
    // The process may have been held up, so that the end of the check was noticed late.
    health.unansweredUntil = std::min(now, health.checkBegunAt + checkTimeout);
}

void EndpointHealthTracker::clearUnanswered(Health &health)
{
    health.unansweredSince = Instant::max();
    health.unansweredUntil = Instant::max();
}

void EndpointHealthTracker::recordInconclusiveCheck(const EndpointId &endpoint)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry != m_endpoints.end())
        entry->second.isCheckRunning = false;
}

bool EndpointHealthTracker::recordCheckEnd(const EndpointId &endpoint, bool isResponsive,
                                           Instant now)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return false;
    Health &health = entry->second;
    health.isCheckRunning = false;
    if (isResponsive || health.lastActivityAt > health.checkBegunAt) {
        clearUnanswered(health);
        return false;
    }
    recordUnansweredCheck(health, now);
    markSilent(health, now);
    return true;
}

std::vector<EndpointId> EndpointHealthTracker::detectStalled(Instant now)
{
    std::vector<EndpointId> stalled;
    const auto recordIfStalled = [&](const EndpointId &endpoint, Health &health) {
        if (health.suspectUntil > now || health.lastActivityAt + stallTimeout > now)
            return;
        markSilent(health, now);
        stalled.push_back(endpoint);
    };
    for (auto &[id, health] : m_endpoints) {
        if (health.activeStreams > 0)
            recordIfStalled(id, health);
    }
    // If this instance has no other streams on the endpoint, a missing first event may also mean a
    // long queue. Peers with active streams on the endpoint can tell which.
    for (const auto &[number, attempt] : m_attempts) {
        if (attempt.isStream && !attempt.hasEvents && attempt.startedAt + stallTimeout <= now
            && isSuspectedByPeers(attempt.endpoint, now))
            recordIfStalled(attempt.endpoint, m_endpoints[attempt.endpoint]);
    }
    return stalled;
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
