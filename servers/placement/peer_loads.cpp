#include "servers/placement/peer_loads.h"

#include <algorithm>

namespace monsoonsail {

namespace {
/// A peer without a digest for longer has failed or is disconnected; its requests end within
/// seconds.
constexpr Duration peerLoadLifetime = std::chrono::seconds(2);
/// The same limit in digests, for peers that send them at long intervals.
constexpr int maxMissedDigests = 3;
constexpr Duration expiryInterval = std::chrono::milliseconds(100);
} // namespace

void PeerLoads::applyPeerDigest(const Peer &peer)
{
    PeerLoad &known = m_peers[peer.digest.instance];
    subtract(known);
    known.receivedAt = peer.receivedAt;
    known.interval = peer.digest.interval;
    known.loads = peer.digest.endpointLoads;
    add(known);
}

void PeerLoads::expire(Instant now)
{
    if (now < m_expiredAt + expiryInterval)
        return;
    m_expiredAt = now;
    std::erase_if(m_peers, [this, now](const auto &entry) {
        const PeerLoad &peer = entry.second;
        if (peer.receivedAt + std::max(peerLoadLifetime, maxMissedDigests * peer.interval) >= now)
            return false;
        subtract(peer);
        return true;
    });
}

PeerLoads::Load PeerLoads::loadOf(EndpointHash endpoint) const
{
    const auto entry = m_totals.find(endpoint);
    return entry == m_totals.end() ? Load() : entry->second;
}

void PeerLoads::add(const PeerLoad &peer)
{
    for (const Digest::EndpointLoad &load : peer.loads) {
        Load &total = m_totals[load.endpoint];
        total.running += load.running;
        total.promptTokens += load.promptTokens;
        total.work.unread.add(load.promptTokens, peer.receivedAt);
        if (load.remainingMs > 0) {
            total.work.remainingMs += load.remainingMs;
            total.work.timedRuns += load.running;
        }
    }
}

void PeerLoads::subtract(const PeerLoad &peer)
{
    for (const Digest::EndpointLoad &load : peer.loads) {
        const auto total = m_totals.find(load.endpoint);
        if (total == m_totals.end())
            continue;
        total->second.running -= load.running;
        total->second.promptTokens -= load.promptTokens;
        total->second.work.unread.remove(load.promptTokens, peer.receivedAt);
        if (load.remainingMs > 0) {
            total->second.work.remainingMs -= load.remainingMs;
            total->second.work.timedRuns -= load.running;
        }
        if (total->second == Load())
            m_totals.erase(total);
    }
}

} // namespace monsoonsail
