#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <utility>

// The part of the ledger that counts the use by the other entry instances.

namespace monsoonsail {

namespace {

/// A peer whose digests have a lower sequence number has just started, so all of its use is recent.
/// Later, part of its use is older than the window.
constexpr std::uint64_t startupDigests = 24;
/// One in this many peers may be overdue because datagrams were lost. If more are, they are cut
/// off.
constexpr std::size_t peersPerLostDigest = 20;
/// A peer that was cut off for longer counts as a new one. Network partitions are shorter.
constexpr Duration peerRetention = std::chrono::seconds(60);

} // namespace

void AllowanceLedger::applyPeerDigest(const Peer &peer, Instant now)
{
    // Before the accounts are known, the counts of a digest can't be kept, and those of the next
    // digest would count as used since this one.
    if (m_entries.empty())
        return;
    const Digest &digest = peer.digest;
    PeerState &known = m_peers[digest.instance];
    if (known.incarnation != digest.incarnation) {
        for (auto &[account, use] : known.accounts) {
            const auto entry = m_entries.find(account);
            if (entry != m_entries.end())
                releaseReservation(entry->second, use, now);
        }
        // The first counts of a peer that has run for longer only serve as its baseline, since they
        // include use from before the window.
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

/// `isNew` is whether an account that is reported for the first time was first used after the
/// previous digest.
void AllowanceLedger::recordPeerUse(PeerState &peer, const Digest::AccountUse &use, bool isNew,
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
        known.byUrgency = isNew ? std::vector<Digest::UrgencyUse>() : use.byUrgency;
        known.changedAt = peer.lastDigestAt;
    }
    releaseReservation(entry, known, now);
    // Counts are reported soon after they change, so the use came after the previous digest.
    entry.used.addEvenly(use.admitted - known.admitted, peer.lastDigestAt, now);
    const double newDemand = std::max(use.requested - known.requested, 0.0);
    entry.recentPeerDemand += newDemand;
    entry.surgeDemand += newDemand;
    if (m_rules.keepsUrgent)
        addPeerDemand(entry, known, use);
    const double seconds = toSeconds(now - known.changedAt);
    if (seconds > 0) {
        const double weight = std::min(1.0, seconds / demandDecaySeconds);
        known.demandPerSecond += weight * (newDemand / seconds - known.demandPerSecond);
    }
    known.changedAt = now;
    known.requested = use.requested;
    known.admitted = use.admitted;
}

AllowanceLedger::PeerUse &AllowanceLedger::peerUseOf(PeerState &peer, AccountHash account)
{
    return peer.accounts.try_emplace(account, m_rules.window + windowMargin).first->second;
}

/// Subtracts what was counted on behalf of a silent peer.
void AllowanceLedger::releaseReservation(Entry &entry, PeerUse &use, Instant now)
{
    // Part of the reservation may have left the window already.
    use.reserved.advance(now);
    entry.used.subtract(use.reserved);
    use.reserved.clear();
}

/// Releases the reservations for accounts that a complete digest doesn't list: the peer has not
/// used them.
void AllowanceLedger::releaseUnlisted(PeerState &peer, std::span<const Digest::AccountUse> listed,
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
    // If all instances were killed, they start at the same time and have not received each other's
    // digests yet.
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
    // Peers that were cut off report only the sum of their use when they return, not its times.
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
        PeerState &known = m_peers[peer->digest.instance];
        if (known.lastDigestAt == Instant())
            known.lastDigestAt = now;
        PeerUse &use = peerUseOf(known, account);
        use.reserved.advance(now);
        if (m_silentPeers.contains(peer->digest.instance)) {
            count(use, entry.limit / toSeconds(m_rules.window) * seconds / m_sharingInstances);
        } else {
            newlySilent.push_back(&use);
            // What it has probably admitted since its last digest. Its demand decays from the last
            // change of its counts, since the digests after it reported no further demand.
            const double remainingWeight =
                    1 - toSeconds(known.lastDigestAt - use.changedAt) / demandDecaySeconds;
            const double demandPerSecond = use.demandPerSecond * std::max(0.0, remainingWeight);
            count(use, demandPerSecond * toSeconds(now - peer->receivedAt));
        }
    }
    // Each of them may also admit its share of what is left.
    const double left = std::max(0.0, entry.limit - entry.used.sum());
    for (PeerUse *use : newlySilent)
        count(*use, left / m_sharingInstances);
}

} // namespace monsoonsail
