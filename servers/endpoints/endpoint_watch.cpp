#include "servers/endpoints/endpoint_watch.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Time constant with which earlier attempts are forgotten.
constexpr double memorySeconds = 4.0;
/// Weight of the newest attempt in the usual time.
constexpr double usualTimeWeight = 0.15;
/// A stream's events come six steps apart, and a step with a chunk of a prompt takes about 70 ms,
/// so a single stream may pause for half of a second. Several streams take turns.
constexpr Duration silenceBase = std::chrono::milliseconds(300);
constexpr Duration silenceOfOne = std::chrono::milliseconds(500);
/// A silent endpoint is tried again after this time.
constexpr Duration suspicion = std::chrono::milliseconds(2000);
constexpr Duration refusalSuspicion = std::chrono::milliseconds(500);
/// Runs that an endpoint stands from one instance while it is closed to it.
constexpr unsigned mostUnavoidable = 2;
/// Peers repeat their suspicions with every digest.
constexpr Duration peerSuspicion = std::chrono::milliseconds(700);

} // namespace

void EndpointWatch::started(AttemptNumber attempt, const EndpointId &endpoint, bool isStream,
                            Instant now)
{
    m_attempts[attempt] = {.endpoint = endpoint, .startedAt = now, .isStream = isStream};
    m_endpoints.try_emplace(endpoint, Health{.lastSign = now, .decayedAt = now});
}

void EndpointWatch::progressed(AttemptNumber attempt, Instant at)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end())
        return;
    Health &health = m_endpoints[entry->second.endpoint];
    if (!entry->second.hasEvents) {
        entry->second.hasEvents = true;
        ++health.streaming;
    }
    health.lastSign = std::max(health.lastSign, at);
    health.suspectUntil = std::min(health.suspectUntil, at);
}

void EndpointWatch::ended(AttemptNumber number, EndpointVerdict verdict, Instant now)
{
    const auto entry = m_attempts.find(number);
    if (entry == m_attempts.end())
        return;
    const Attempt attempt = entry->second;
    m_attempts.erase(entry);
    Health &health = m_endpoints[attempt.endpoint];
    if (attempt.hasEvents && health.streaming > 0)
        --health.streaming;
    decay(health, now);
    switch (verdict) {
    case EndpointVerdict::Good: {
        health.good += 1;
        health.lastSign = now;
        const double took = toMs(now - attempt.startedAt);
        health.usualMs = health.usualMs == 0
                ? took
                : health.usualMs + usualTimeWeight * (took - health.usualMs);
        break;
    }
    case EndpointVerdict::Failed:
        health.bad += 1;
        break;
    case EndpointVerdict::Refused:
        health.bad += 1;
        health.suspectUntil = std::max(health.suspectUntil, now + refusalSuspicion);
        break;
    case EndpointVerdict::Unrelated:
        break;
    }
}

void EndpointWatch::suspectedByPeer(EndpointHash endpoint, Instant now)
{
    m_peerSuspectUntil[endpoint] = now + peerSuspicion;
}

bool EndpointWatch::isSuspectAtPeers(const EndpointId &endpoint, Instant now) const
{
    if (m_peerSuspectUntil.empty())
        return false;
    const auto entry = m_peerSuspectUntil.find(endpoint);
    return entry != m_peerSuspectUntil.end() && entry->second > now;
}

void EndpointWatch::closed(const EndpointId &endpoint, Instant until)
{
    Closing &closing = m_closed[endpoint];
    closing.until = std::max(closing.until, until);
}

void EndpointWatch::removed(const EndpointId &endpoint)
{
    m_endpoints.erase(endpoint);
    m_closed.erase(endpoint);
}

Instant EndpointWatch::closedUntil(const EndpointId &endpoint, Instant now) const
{
    if (m_closed.empty())
        return Instant::min();
    const auto entry = m_closed.find(endpoint);
    return entry != m_closed.end() && entry->second.until > now ? entry->second.until
                                                                : Instant::min();
}

bool EndpointWatch::takeUnavoidable(const EndpointId &endpoint, Instant now)
{
    std::erase_if(m_closed, [now](const auto &entry) { return entry.second.until <= now; });
    const auto entry = m_closed.find(endpoint);
    return entry == m_closed.end() || ++entry->second.unavoidable <= mostUnavoidable;
}

double EndpointWatch::failureRate(const EndpointId &endpoint, Instant now) const
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return 0;
    Health health = entry->second;
    decay(health, now);
    // One good attempt is assumed, so that a single failure does not condemn an endpoint.
    return health.bad / (health.bad + health.good + 1);
}

Duration EndpointWatch::usualTime(const EndpointId &endpoint) const
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return {};
    return fromMs(entry->second.usualMs);
}

bool EndpointWatch::isSuspect(const EndpointId &endpoint, Instant now) const
{
    return isSuspectHere(endpoint, now) || isSuspectAtPeers(endpoint, now);
}

bool EndpointWatch::isSuspectHere(const EndpointId &endpoint, Instant now) const
{
    const auto entry = m_endpoints.find(endpoint);
    return entry != m_endpoints.end() && entry->second.suspectUntil > now;
}

std::vector<EndpointId> EndpointWatch::takeSilent(Instant now)
{
    std::vector<EndpointId> silent;
    for (auto &[id, health] : m_endpoints) {
        if (health.streaming == 0 || health.suspectUntil > now)
            continue;
        if (health.lastSign + silenceBase + silenceOfOne / health.streaming > now)
            continue;
        health.suspectUntil = now + suspicion;
        silent.push_back(id);
    }
    takeWaiting(silent, now);
    std::erase_if(m_peerSuspectUntil, [now](const auto &entry) { return entry.second <= now; });
    return silent;
}

// An instance that runs nothing else on an endpoint can't tell a long queue from a dead engine. Its
// peers can, if they run streams there.
void EndpointWatch::takeWaiting(std::vector<EndpointId> &silent, Instant now)
{
    const Instant latest = now - silenceBase - silenceOfOne;
    for (const auto &[number, attempt] : m_attempts) {
        if (!attempt.isStream || attempt.hasEvents || attempt.startedAt > latest)
            continue;
        Health &health = m_endpoints[attempt.endpoint];
        if (health.believedUntil > now || health.lastSign > latest
            || !isSuspectAtPeers(attempt.endpoint, now))
            continue;
        health.believedUntil = now + suspicion;
        silent.push_back(attempt.endpoint);
    }
}

void EndpointWatch::decay(Health &health, Instant now)
{
    const double seconds = toSeconds(now - health.decayedAt);
    if (seconds <= 0)
        return;
    const double kept = std::exp(-seconds / memorySeconds);
    health.good *= kept;
    health.bad *= kept;
    health.decayedAt = now;
}

} // namespace monsoonsail
