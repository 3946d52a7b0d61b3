#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <utility>

// The part of the ledger that counts what the other entry instances use.

namespace monsoonsail {

namespace {

/// A peer's digests count from its start while it is this young; later its earlier use is over.
constexpr std::uint64_t startupDigests = 24;
/// One in so many peers may be missing by loss of datagrams; more are cut off.
constexpr std::size_t peersPerLostDigest = 20;
/// A peer that was cut off for so long counts as a new one; longer than cuts last.
constexpr Duration peerRetention = std::chrono::seconds(60);

} // namespace

void AllowanceLedger::applyPeerDigest(const Peer &peer, Instant now)
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
                releaseReservation(entry->second, use, now);
        }
        // The counts of a peer that was running before this process are older than what is of
        // interest.
        known = {.incarnation = digest.incarnation,
                 .hasBaseline = digest.sequence < startupDigests,
                 .lastDigestAt = now};
    }
    for (const Digest::AccountUse &use : digest.accountUses)
        this->recordPeerUse(known, use, known.hasBaseline, now);
    if (digest.isComplete) {
        releaseUnlisted(known, digest.accountUses, now);
        known.hasBaseline = true;
    }
    known.lastDigestAt = now;
}

/// `isNew` tells whether an account that was not told before has been used since the last digest.
void AllowanceLedger::recordPeerUse(PeerUses &peer, const Digest::AccountUse &use, bool isNew,
                                    Instant now)
{
    const auto position = m_entries.find(use.account);
    if (position == m_entries.end())
        return;
    Entry &entry = position->second;
    advance(entry, now);
    const bool isFirst = !peer.accounts.contains(use.account);
    PeerUse &known = peerUseOf(peer, use.account);
    if (isFirst || known.changedAt == Instant()) {
        known.requested = isNew ? 0 : use.requested;
        known.admitted = isNew ? 0 : use.admitted;
        known.changedAt = peer.lastDigestAt;
    }
    releaseReservation(entry, known, now);
    // Counts are told soon after they change, so the change came after the digest before.
    entry.used.addEvenly(use.admitted - known.admitted, peer.lastDigestAt, now);
    const double newDemand = std::max(use.requested - known.requested, 0.0);
    entry.recentPeerDemand += newDemand;
    entry.surgeDemand += newDemand;
    const double seconds = toSeconds(now - known.changedAt);
    if (seconds > 0) {
        const double weight = std::min(1.0, seconds / demandDecaySeconds);
        known.demandPerSecond += weight * (newDemand / seconds - known.demandPerSecond);
    }
    known.changedAt = now;
    known.requested = use.requested;
    known.admitted = use.admitted;
}

AllowanceLedger::PeerUse &AllowanceLedger::peerUseOf(PeerUses &peer, AccountHash account)
{
    return peer.accounts.try_emplace(account, m_rules.window + windowMargin).first->second;
}

/// Takes back what was counted on behalf of a peer.
void AllowanceLedger::releaseReservation(Entry &entry, PeerUse &use, Instant now)
{
    // What was reserved may have left the window in part.
    use.reserved.advance(now);
    entry.used.subtract(use.reserved);
    use.reserved.clear();
}

/// A complete digest tells that the other accounts were not used.
void AllowanceLedger::releaseUnlisted(PeerUses &peer, std::span<const Digest::AccountUse> listed,
                                      Instant now)
{
    for (auto &[account, use] : peer.accounts) {
        const auto entry = m_entries.find(account);
        if (entry == m_entries.end() || use.reserved.isEmpty()
            || std::ranges::find(listed, account, &Digest::AccountUse::account) != listed.end())
            continue;
        releaseReservation(entry->second, use, now);
    }
}

void AllowanceLedger::updateReservations(const Mesh &mesh, Instant now)
{
    const double seconds = std::clamp(toSeconds(now - m_reservationsUpdatedAt), 0.0, 1.0);
    m_reservationsUpdatedAt = now;
    // After a herd kill all instances start at once and have not heard of each other yet.
    m_sharingInstances = isWarmingUp(now) ? mesh.possibleInstanceCount() : mesh.instanceCount();
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
    if ((overdue + silent.size()) * peersPerLostDigest > mesh.peers().size())
        m_peersMissingUntil = now + m_rules.window;
    for (auto &[account, entry] : m_entries) {
        entry.usedHere.setSpan(Mesh::typicalPropagationTime(m_meshSize));
        reserveForSilentPeers(account, entry, silent, seconds, now);
    }
    m_silentPeers.clear();
    for (const Peer *peer : silent)
        m_silentPeers.insert(peer->digest.instance);
    std::erase_if(m_peers, [now](const auto &peer) {
        return peer.second.lastDigestAt != Instant()
                && peer.second.lastDigestAt + peerRetention < now;
    });
}

void AllowanceLedger::reserveForSilentPeers(AccountHash account, Entry &entry,
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
        if (known.lastDigestAt == Instant())
            known.lastDigestAt = now;
        PeerUse &use = peerUseOf(known, account);
        use.reserved.advance(now);
        if (m_silentPeers.contains(peer->digest.instance)) {
            count(use, entry.limit / toSeconds(m_rules.window) * seconds / m_sharingInstances);
        } else {
            newlySilent.push_back(&use);
            // What it has probably let through since it was last heard. Nothing that it asked for
            // was told between the last change and that.
            const double remainingWeight =
                    1 - toSeconds(known.lastDigestAt - use.changedAt) / demandDecaySeconds;
            const double demandPerSecond = use.demandPerSecond * std::max(0.0, remainingWeight);
            count(use, demandPerSecond * toSeconds(now - peer->receivedAt));
        }
    }
    // Each of them may also hand out its part of what is left.
    const double left = std::max(0.0, entry.limit - entry.used.sum());
    for (PeerUse *use : newlySilent)
        count(*use, left / m_sharingInstances);
}

} // namespace monsoonsail
