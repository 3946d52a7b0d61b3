#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// A bucket with less than this many seconds of its rate is handed out by parts: until the next
/// digests, every instance could otherwise hand out all of it.
constexpr double scarceSeconds = 0.5;
/// Part of its own inflow that an instance may save up, in seconds of the rate.
constexpr double shareSeconds = 0.5;
/// Time constant with which the demand of the past is forgotten.
constexpr double demandSeconds = 2.0;
/// A process that has just started does not know what was let through before.
constexpr double firstLevelPart = 0.5;
/// Part of the tolerance that is handed out. Instances learn late of each other's use, so a request
/// is refused only if it is beyond the allowance for certain; the rest of the tolerance takes up
/// what several instances let through at once.
constexpr double usedTolerance = 0.5;
/// Shortest time after which a refused request is worth another try.
constexpr Duration leastRetry = std::chrono::milliseconds(200);
constexpr double mostRetrySeconds = 5;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void AllowanceLedger::configure(const std::vector<Account> &accounts, Instant now)
{
    for (const Account &account : accounts) {
        const auto [entry, isNew] = m_buckets.try_emplace(account.name);
        Bucket &bucket = entry->second;
        if (!isNew)
            fill(bucket, now);
        bucket.allowance = tolerated(account.allowance);
        if (isNew) {
            bucket.level = bucket.allowance.burst * firstLevelPart;
            bucket.filledAt = now;
        }
        bucket.level = std::min(bucket.level, bucket.allowance.burst);
    }
}

std::optional<Instant> AllowanceLedger::admit(const AccountId &account, double amount, Instant now)
{
    const auto entry = m_buckets.find(account);
    if (entry == m_buckets.end())
        return std::nullopt;
    Bucket &bucket = entry->second;
    fill(bucket, now);
    bucket.asked += amount;
    bucket.recentAsked += amount;
    const double rate = bucket.allowance.perSecond;
    if (rate <= 0) {
        bucket.admitted += amount;
        return std::nullopt;
    }
    const bool isScarce = bucket.level < rate * scarceSeconds;
    // A request that is larger than the bucket goes through when the bucket is full.
    const double needed = std::min(amount, bucket.allowance.burst);
    const double missing = std::max(needed - bucket.level, 0.0);
    const double missingShare =
            isScarce ? std::max(std::min(amount, rate * shareSeconds / m_instances) - bucket.share, 0.0)
                     : 0;
    if (missing > 0 || missingShare > 0) {
        const double seconds = std::max(missing, missingShare * m_instances) / rate;
        return now + std::max(leastRetry, fromSeconds(std::min(seconds, mostRetrySeconds)));
    }
    bucket.level -= amount;
    bucket.share -= amount;
    bucket.admitted += amount;
    return std::nullopt;
}

void AllowanceLedger::refund(const AccountId &account, double amount)
{
    const auto entry = m_buckets.find(account);
    if (entry == m_buckets.end())
        return;
    Bucket &bucket = entry->second;
    bucket.admitted -= amount;
    bucket.level = std::min(bucket.level + amount, bucket.allowance.burst);
    bucket.share += amount;
}

void AllowanceLedger::peerReported(const Peer &peer, Instant now)
{
    for (const Digest::AccountUse &use : peer.digest.uses) {
        const auto entry = m_buckets.find(use.account);
        if (entry == m_buckets.end())
            continue;
        Bucket &bucket = entry->second;
        fill(bucket, now);
        PeerUse &known = bucket.peers[peer.digest.instance];
        if (known.incarnation != peer.digest.incarnation)
            known = {.incarnation = peer.digest.incarnation, .reserved = known.reserved};
        const double admitted = use.admitted - known.admitted;
        bucket.level = std::min(bucket.level - admitted + known.reserved, bucket.allowance.burst);
        bucket.recentPeerAsked += std::max(use.asked - known.asked, 0.0);
        known.asked = use.asked;
        known.admitted = use.admitted;
        known.reserved = 0;
    }
}

void AllowanceLedger::reserve(const Mesh &mesh, Instant now)
{
    const double seconds = std::clamp(toSeconds(now - m_reservedAt), 0.0, 1.0);
    m_reservedAt = now;
    m_instances = mesh.instanceCount();
    for (const auto &[name, peer] : mesh.peers()) {
        if (Mesh::isLive(peer, now))
            continue;
        for (auto &[account, bucket] : m_buckets) {
            fill(bucket, now);
            const double amount = bucket.allowance.perSecond * seconds / m_instances;
            bucket.peers[name].reserved += amount;
            bucket.level -= amount;
        }
    }
}

std::vector<Digest::AccountUse> AllowanceLedger::uses() const
{
    std::vector<Digest::AccountUse> uses;
    for (const auto &[account, bucket] : m_buckets) {
        if (bucket.asked > 0) {
            uses.push_back(
                    {.account = account, .asked = bucket.asked, .admitted = bucket.admitted});
        }
    }
    return uses;
}

Allowance AllowanceLedger::tolerated(const Allowance &allowance) const
{
    Allowance result = allowance;
    const double factor = 1 + usedTolerance * m_tolerance.excess;
    result.perSecond *= factor;
    result.burst = result.burst * factor + usedTolerance * m_tolerance.slack;
    return result;
}

void AllowanceLedger::fill(Bucket &bucket, Instant now) const
{
    const double seconds = toSeconds(now - bucket.filledAt);
    if (seconds <= 0)
        return;
    bucket.filledAt = now;
    const double rate = bucket.allowance.perSecond;
    bucket.level = std::min(bucket.level + rate * seconds, bucket.allowance.burst);
    const double asked = bucket.recentAsked + bucket.recentPeerAsked;
    // Without demand, or against a peer that has told nothing yet, every instance has an equal
    // part.
    const double equalPart = 1.0 / m_instances;
    const double part = asked > 0 ? std::max(bucket.recentAsked / asked, equalPart / 4) : equalPart;
    bucket.share = std::min(bucket.share + rate * seconds * part, rate * shareSeconds * part);
    const double kept = std::exp(-seconds / demandSeconds);
    bucket.recentAsked *= kept;
    bucket.recentPeerAsked *= kept;
}

} // namespace monsoonsail
