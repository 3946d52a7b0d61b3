#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <utility>

// The part of the ledger that counts what the other entry instances use.

namespace monsoonsail {

namespace {

/// A peer's digests count from its start while it is this young; later its earlier use is over.
constexpr std::uint64_t youngDigests = 24;
/// One in so many peers may be missing by loss of datagrams; more are cut off.
constexpr std::size_t manyMissingPart = 20;
/// A peer that was cut off for so long counts as a new one; longer than cuts last.
constexpr Duration peerMemory = std::chrono::seconds(60);

} // namespace

void AllowanceLedger::peerReported(const Peer &peer, Instant now)
{
    // Digests that come before the accounts are known tell nothing of what came since.
    if (m_entries.empty())
        return;
    const Digest &digest = peer.digest;
    PeerUses &known = m_peers[digest.instance];
    if (known.incarnation != digest.incarnation) {
        for (auto &[account, use] : known.accounts) {
            const auto entry = m_entries.find(account);
            if (entry != m_entries.end())
                release(entry->second, use, now);
        }
        // The counts of a peer that was running before this process are older than what is of
        // interest.
        known = {.incarnation = digest.incarnation,
                 .isKnown = digest.sequence < youngDigests,
                 .heardAt = now};
    }
    for (const Digest::AccountUse &use : digest.accountUses)
        this->use(known, use, known.isKnown, now);
    if (digest.isComplete) {
        releaseUnnamed(known, digest.accountUses, now);
        known.isKnown = true;
    }
    known.heardAt = now;
}

/// `isNew` tells whether an account that was not told before has been used since the last digest.
void AllowanceLedger::use(PeerUses &peer, const Digest::AccountUse &use, bool isNew, Instant now)
{
    const auto position = m_entries.find(use.account);
    if (position == m_entries.end())
        return;
    Entry &entry = position->second;
    advance(entry, now);
    const bool isFirst = !peer.accounts.contains(use.account);
    PeerUse &known = useOf(peer, use.account);
    if (isFirst || known.changedAt == Instant()) {
        known.asked = isNew ? 0 : use.requested;
        known.admitted = isNew ? 0 : use.admitted;
        known.changedAt = peer.heardAt;
    }
    release(entry, known, now);
    // Counts are told soon after they change, so the change came after the digest before.
    entry.used.addEvenly(use.admitted - known.admitted, peer.heardAt, now);
    const double asked = std::max(use.requested - known.asked, 0.0);
    entry.recentPeerAsked += asked;
    entry.surgeAsked += asked;
    const double seconds = toSeconds(now - known.changedAt);
    if (seconds > 0) {
        const double weight = std::min(1.0, seconds / demandSeconds);
        known.askedPerSecond += weight * (asked / seconds - known.askedPerSecond);
    }
    known.changedAt = now;
    known.asked = use.requested;
    known.admitted = use.admitted;
}

AllowanceLedger::PeerUse &AllowanceLedger::useOf(PeerUses &peer, AccountKey account)
{
    return peer.accounts.try_emplace(account, m_rules.window + windowReserve).first->second;
}

/// Takes back what was counted on behalf of a peer.
void AllowanceLedger::release(Entry &entry, PeerUse &use, Instant now)
{
    // What was reserved may have left the window in part.
    use.reserved.advance(now);
    entry.used.subtract(use.reserved);
    use.reserved.clear();
}

/// A complete digest tells that the other accounts were not used.
void AllowanceLedger::releaseUnnamed(PeerUses &peer, std::span<const Digest::AccountUse> named,
                                     Instant now)
{
    for (auto &[account, use] : peer.accounts) {
        const auto entry = m_entries.find(account);
        if (entry == m_entries.end() || use.reserved.isEmpty()
            || std::ranges::find(named, account, &Digest::AccountUse::account) != named.end())
            continue;
        release(entry->second, use, now);
    }
}

void AllowanceLedger::reserve(const Mesh &mesh, Instant now)
{
    const double seconds = std::clamp(toSeconds(now - m_reservedAt), 0.0, 1.0);
    m_reservedAt = now;
    // After a herd kill all instances start at once and have not heard of each other yet.
    m_instances = isYoung(now) ? mesh.possibleInstanceCount() : mesh.instanceCount();
    m_meshSize = mesh.instanceCount();
    std::vector<const Peer *> silent;
    std::size_t overdue = 0;
    for (const auto &[name, peer] : mesh.peers()) {
        if (peer.digest.refusesNewRequests)
            continue;
        if (Mesh::isSilent(peer, now))
            silent.push_back(&peer);
        else if (Mesh::isOverdue(peer, now))
            ++overdue;
    }
    // Of peers that come back only the sum of what they used is known, not when they used it.
    if ((overdue + silent.size()) * manyMissingPart > mesh.peers().size())
        m_missingUntil = now + m_rules.window;
    for (auto &[account, entry] : m_entries) {
        entry.usedHere.setSpan(Mesh::typicalPropagationTime(m_meshSize));
        reserveForSilent(account, entry, silent, seconds, now);
    }
    m_silentPeers.clear();
    for (const Peer *peer : silent)
        m_silentPeers.insert(peer->digest.instance);
    std::erase_if(m_peers, [now](const auto &peer) {
        return peer.second.heardAt != Instant() && peer.second.heardAt + peerMemory < now;
    });
}

void AllowanceLedger::reserveForSilent(AccountKey account, Entry &entry,
                                       const std::vector<const Peer *> &silent, double seconds,
                                       Instant now)
{
    const auto count = [&entry, now](PeerUse &use, double amount) {
        use.reserved.add(amount, now);
        entry.used.add(amount, now);
    };
    std::vector<PeerUse *> newlySilent;
    for (const Peer *peer : silent) {
        PeerUses &known = m_peers[peer->digest.instance];
        if (known.heardAt == Instant())
            known.heardAt = now;
        PeerUse &use = useOf(known, account);
        use.reserved.advance(now);
        if (m_silentPeers.contains(peer->digest.instance)) {
            count(use, entry.limit / toSeconds(m_rules.window) * seconds / m_instances);
        } else {
            newlySilent.push_back(&use);
            // What it has probably let through since it was last heard. Nothing that it asked for
            // was told between the last change and that.
            const double still = 1 - toSeconds(known.heardAt - use.changedAt) / demandSeconds;
            const double askedPerSecond = use.askedPerSecond * std::max(0.0, still);
            count(use, askedPerSecond * toSeconds(now - peer->receivedAt));
        }
    }
    // Each of them may also hand out its part of what is left.
    const double left = std::max(0.0, entry.limit - entry.used.sum());
    for (PeerUse *use : newlySilent)
        count(*use, left / m_instances);
}

} // namespace monsoonsail
