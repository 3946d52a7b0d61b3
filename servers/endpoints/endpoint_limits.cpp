#include "servers/endpoints/endpoint_limits.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace monsoonsail {

namespace {

/// An endpoint only tells that it has lifted its limit in an answer, so it always gets some
/// requests.
constexpr double minRequestsPerSecond = 0.2;
/// Turns ahead that are searched for the next use, and by which excess uses are paid for.
constexpr std::int64_t maxTurns = 120;
/// An endpoint that nobody has heard for this long may have lifted its limit.
constexpr Duration limitLifetime = std::chrono::minutes(2);
constexpr std::size_t maxLimits = 4096;
constexpr std::size_t maxLimitsInDigest = 128;

} // namespace

bool EndpointLimits::record(const EndpointLimitReport &report)
{
    const EndpointHash endpoint = report.endpoint;
    const auto known = m_limits.find(endpoint);
    if (known == m_limits.end() && (!report.requestsPerSecond || m_limits.size() >= maxLimits))
        return false;
    Limit &limit = m_limits[endpoint];
    if (report.receivedAt < limit.readAt)
        return false;
    limit.readAt = report.receivedAt;
    limit.isOwn = true;
    return std::exchange(limit.perSecond, report.requestsPerSecond) != report.requestsPerSecond;
}

void EndpointLimits::applyPeerDigest(const Peer &peer)
{
    for (const Digest::EndpointLimit &reported : peer.digest.endpointLimits) {
        const Instant readAt = peer.receivedAt - std::max(reported.age, Duration::zero());
        const auto known = m_limits.find(reported.endpoint);
        if (known == m_limits.end() && m_limits.size() >= maxLimits)
            continue;
        Limit &limit = m_limits[reported.endpoint];
        if (readAt <= limit.readAt)
            continue;
        limit.perSecond = reported.perSecond;
        limit.readAt = readAt;
        // Only instances that read a limit in an answer pass it on. With each further hop it would
        // seem newer than it is.
        limit.isOwn = false;
    }
}

void EndpointLimits::fillDigest(Digest &digest, Instant now) const
{
    for (const auto &[endpoint, limit] : m_limits) {
        if (limit.isOwn && digest.endpointLimits.size() < maxLimitsInDigest)
            digest.endpointLimits.push_back({.endpoint = endpoint,
                                             .perSecond = limit.perSecond,
                                             .age = now - limit.readAt});
    }
}

void EndpointLimits::expire(Instant now)
{
    std::erase_if(m_limits,
                  [now](const auto &entry) { return entry.second.readAt + limitLifetime < now; });
}

bool EndpointLimits::mayUse(const EndpointId &endpoint, Instant now) const
{
    const Limit *limit = find(endpoint);
    if (limit == nullptr)
        return true;
    const std::int64_t turn = m_shares.turnAt(now);
    return usesIn(endpoint, *limit, turn) < shareOf(endpoint, *limit, turn);
}

Instant EndpointLimits::nextUseAt(const EndpointId &endpoint, Instant now) const
{
    const Limit *limit = find(endpoint);
    if (limit == nullptr)
        return now;
    const std::int64_t current = m_shares.turnAt(now);
    for (std::int64_t turn = current; turn < current + maxTurns; ++turn) {
        if (usesIn(endpoint, *limit, turn) < shareOf(endpoint, *limit, turn))
            return std::max(now, m_shares.beginOf(turn));
    }
    return m_shares.beginOf(current + maxTurns);
}

void EndpointLimits::recordUse(const EndpointId &endpoint, Instant now)
{
    const auto entry = m_limits.find(endpoint);
    if (entry == m_limits.end() || !entry->second.perSecond)
        return;
    Limit &limit = entry->second;
    const std::int64_t turn = m_shares.turnAt(now);
    limit.usesInTurn = usesIn(endpoint, limit, turn) + 1;
    limit.turn = turn;
}

std::size_t EndpointLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_limits, [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

std::uint32_t EndpointLimits::shareOf(EndpointHash endpoint, const Limit &limit,
                                      std::int64_t turn) const
{
    return m_shares.shareOf(std::max(*limit.perSecond, minRequestsPerSecond), endpoint.value(),
                            turn);
}

std::uint32_t EndpointLimits::usesIn(EndpointHash endpoint, const Limit &limit,
                                     std::int64_t turn) const
{
    std::uint32_t uses = limit.usesInTurn;
    const std::int64_t last = std::min(turn, limit.turn + maxTurns);
    for (std::int64_t past = limit.turn; past < last && uses > 0; ++past)
        uses -= std::min(uses, shareOf(endpoint, limit, past));
    return turn > last ? 0 : uses;
}

const EndpointLimits::Limit *EndpointLimits::find(EndpointHash endpoint) const
{
    const auto entry = m_limits.find(endpoint);
    return entry == m_limits.end() || !entry->second.perSecond ? nullptr : &entry->second;
}

} // namespace monsoonsail
