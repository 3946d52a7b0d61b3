#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Part of the tolerance that is handed out. Instances learn late of each other's use, so a request
/// is refused only if it is beyond the allowance for certain; the rest of the tolerance takes up
/// what several instances let through at once.
constexpr double usedTolerance = 0.5;
/// Time until every other instance has heard of what was let through here.
constexpr Duration hearing = std::chrono::milliseconds(400);
/// Requests reach their endpoints a little later than they are let through.
constexpr Duration windowReserve = std::chrono::milliseconds(200);
/// Time constant with which the demand of the past is forgotten.
constexpr double demandSeconds = 2.0;
/// Part of the limit that counts as much. Accounts use about half of their rate as a rule, which is
/// less than half of the limit.
constexpr double muchUsed = 0.5;
/// Part of the limit that a process assumes to have been used evenly before its start if it can't
/// know. What becomes free each second is still more than most accounts ask for.
constexpr double usedBeforeStart = 0.95;
/// Part that is added to a recorded use: records are a second apart, an eighth of today's window.
constexpr double recordGapPart = 0.1;
/// Time from the start until digests tell how much is asked of the others.
constexpr Duration youngTime = std::chrono::seconds(3);
/// Steps in which that is forgotten again.
constexpr int startSteps = 16;
/// A peer's digests count from its start while it is this young; later its earlier use is over.
constexpr std::uint64_t youngDigests = 24;
/// Shortest and longest time after which a refused request is told to come back.
constexpr Duration leastRetry = std::chrono::milliseconds(200);
constexpr Duration mostRetry = std::chrono::seconds(5);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

AllowanceLedger::Entry::Entry(Duration window, Instant now)
    : used(window + windowReserve)
    , usedHere(hearing)
    , decayedAt(now)
{ }

AllowanceLedger::AllowanceLedger(const AllowanceRules &rules, std::uint64_t seed)
    : m_rules(rules)
    , m_random(seed)
{ }

void AllowanceLedger::configure(const std::vector<Account> &accounts, Instant now)
{
    for (const Account &account : accounts) {
        const auto [position, isNew] =
                m_entries.try_emplace(account.name, m_rules.window, now);
        Entry &entry = position->second;
        const Allowance &allowance = account.allowance;
        entry.allowance = allowance;
        const double bare = allowance.perSecond * toSeconds(m_rules.window) + allowance.burst;
        entry.limit = allowance.perSecond > 0 ? bare * (1 + usedTolerance * m_rules.excess)
                        + usedTolerance * m_rules.slack
                                              : 0;
        if (!isNew)
            continue;
        double used = entry.limit * usedBeforeStart;
        if (m_recovered) {
            const auto known = m_recovered->find(account.name);
            used = known == m_recovered->end() ? entry.limit * muchUsed : known->second;
        }
        assumeUsed(entry, std::min(used, entry.limit), now);
    }
}

void AllowanceLedger::assumeUsed(Entry &entry, double amount, Instant now) const
{
    for (int step = startSteps; step > 0; --step)
        entry.used.add(amount / startSteps, now - m_rules.window * step / startSteps);
}

void AllowanceLedger::recovered(const Uses &uses, Instant writtenAt, Instant now)
{
    m_recovered = Uses();
    // A record that is older than a window tells nothing but that there was little use since.
    if (now - writtenAt > m_rules.window)
        return;
    // What was used after the record was written is counted like what was used before.
    for (const auto &[account, use] : uses)
        (*m_recovered)[account] = use * (1 + recordGapPart);
    for (auto &[account, entry] : m_entries) {
        const auto known = m_recovered->find(account);
        const double used = known == m_recovered->end() ? entry.limit * muchUsed : known->second;
        // The entry was made with the assumption that nothing is known.
        assumeUsed(entry, used - entry.limit * usedBeforeStart, now);
    }
}

AllowanceLedger::Uses AllowanceLedger::heavyUses(Instant now)
{
    Uses uses;
    for (auto &[account, entry] : m_entries) {
        advance(entry, now);
        if (entry.limit > 0 && entry.used.sum() > muchUsed * entry.limit)
            uses[account] = entry.used.sum();
    }
    return uses;
}

std::optional<Instant> AllowanceLedger::admit(const AccountId &account, double amount, Instant now)
{
    const auto position = m_entries.find(account);
    if (position == m_entries.end())
        return std::nullopt;
    Entry &entry = position->second;
    advance(entry, now);
    entry.asked += amount;
    entry.recentAsked += amount;
    if (entry.limit > 0) {
        // A request that is larger than the limit goes through when nothing else has been used.
        const double counted = std::min(amount, entry.limit);
        const double left = entry.limit - entry.used.sum();
        if (counted > left || !isWithinPart(entry, left, counted, now)) {
            const Instant free = entry.used.fallsTo(entry.limit - counted, now);
            return std::clamp(free, now + leastRetry, now + mostRetry);
        }
    }
    entry.used.add(amount, now);
    entry.usedHere.add(amount, now);
    entry.admitted += amount;
    return std::nullopt;
}

bool AllowanceLedger::isYoung(Instant now) const
{
    return !m_startedAt || now < *m_startedAt + youngTime;
}

bool AllowanceLedger::isWithinPart(Entry &entry, double left, double amount, Instant now)
{
    const double asked = entry.recentAsked + entry.recentPeerAsked;
    // What the others let through before they hear of this request can't be more than is asked.
    const bool isKnown = asked > 0 && !isYoung(now);
    if (isKnown && left > asked / demandSeconds * toSeconds(hearing))
        return true;
    const double equalPart = 1.0 / m_instances;
    const double part = isKnown ? std::max(entry.recentAsked / asked, equalPart / 2) : equalPart;
    const double mayUse = part * (left + entry.usedHere.sum()) - entry.usedHere.sum();
    if (amount <= mayUse)
        return true;
    // Large requests get through by chance, as often as their size allows; otherwise small ones
    // would use up every part. Each part is drawn for once.
    if (entry.drawnAt + hearing > now)
        return false;
    entry.drawnAt = now;
    return m_random.unit() * amount < mayUse;
}

void AllowanceLedger::refund(const AccountId &account, double amount, Instant now)
{
    const auto position = m_entries.find(account);
    if (position == m_entries.end())
        return;
    Entry &entry = position->second;
    entry.admitted -= amount;
    entry.used.add(-amount, now);
    entry.usedHere.add(-amount, now);
}

void AllowanceLedger::peerReported(const Peer &peer, Instant now)
{
    for (const Digest::AccountUse &use : peer.digest.uses) {
        const auto position = m_entries.find(use.account);
        if (position == m_entries.end())
            continue;
        Entry &entry = position->second;
        advance(entry, now);
        const auto [known, isNew] = entry.peers.try_emplace(peer.digest.instance);
        PeerUse &peerUse = known->second;
        if (peerUse.incarnation != peer.digest.incarnation) {
            const bool isYoung = peer.digest.sequence < youngDigests;
            peerUse.incarnation = peer.digest.incarnation;
            peerUse.asked = isYoung ? 0 : use.asked;
            peerUse.admitted = isYoung ? 0 : use.admitted;
        }
        entry.used.add(use.admitted - peerUse.admitted - peerUse.reserved, now);
        entry.recentPeerAsked += std::max(use.asked - peerUse.asked, 0.0);
        peerUse.asked = use.asked;
        peerUse.admitted = use.admitted;
        peerUse.reserved = 0;
    }
}

void AllowanceLedger::reserve(const Mesh &mesh, Instant now)
{
    const double seconds = std::clamp(toSeconds(now - m_reservedAt), 0.0, 1.0);
    m_reservedAt = now;
    if (!m_startedAt)
        m_startedAt = now;
    // After a herd kill all instances start at once and have not heard of each other yet.
    m_instances = isYoung(now) ? mesh.expectedCount() : mesh.instanceCount();
    for (const auto &[name, peer] : mesh.peers()) {
        if (Mesh::isLive(peer, now))
            continue;
        for (auto &[account, entry] : m_entries) {
            const double amount =
                    entry.limit / toSeconds(m_rules.window) * seconds / m_instances;
            entry.peers[name].reserved += amount;
            entry.used.add(amount, now);
        }
    }
}

std::vector<Digest::AccountUse> AllowanceLedger::uses() const
{
    std::vector<Digest::AccountUse> uses;
    for (const auto &[account, entry] : m_entries) {
        if (entry.asked > 0)
            uses.push_back({.account = account, .asked = entry.asked, .admitted = entry.admitted});
    }
    return uses;
}

void AllowanceLedger::advance(Entry &entry, Instant now)
{
    entry.used.advance(now);
    entry.usedHere.advance(now);
    const double seconds = toSeconds(now - entry.decayedAt);
    if (seconds <= 0)
        return;
    entry.decayedAt = now;
    const double kept = std::exp(-seconds / demandSeconds);
    entry.recentAsked *= kept;
    entry.recentPeerAsked *= kept;
}

} // namespace monsoonsail
