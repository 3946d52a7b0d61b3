#include "servers/placement/peer_loads.h"

#include <algorithm>

namespace monsoonsail {

namespace {
/// A peer that is silent for longer is dead or cut off; its requests end within seconds.
constexpr Duration memory = std::chrono::seconds(2);
/// The same for a peer that sends digests rarely, in digests.
constexpr int missedDigests = 3;
} // namespace

void PeerLoads::reported(const Peer &peer)
{
    PeerLoad &known = m_peers[peer.digest.instance];
    subtract(known);
    known = {.heardAt = peer.heardAt, .interval = peer.digest.interval};
    for (const Digest::EndpointLoad &load : peer.digest.loads) {
        known.loads[load.endpoint] = {.running = load.running,
                                      .promptTokens = load.promptTokens,
                                      .contextTokens = load.contextTokens};
    }
    add(known);
}

void PeerLoads::expire(Instant now)
{
    std::erase_if(m_peers, [this, now](const auto &entry) {
        const PeerLoad &peer = entry.second;
        if (peer.heardAt + std::max(memory, missedDigests * peer.interval) >= now)
            return false;
        subtract(peer);
        return true;
    });
}

PeerLoads::Load PeerLoads::of(const EndpointId &endpoint) const
{
    const auto entry = m_totals.find(endpoint);
    return entry == m_totals.end() ? Load() : entry->second;
}

void PeerLoads::add(const PeerLoad &peer)
{
    for (const auto &[endpoint, load] : peer.loads) {
        Load &total = m_totals[endpoint];
        total.running += load.running;
        total.promptTokens += load.promptTokens;
        total.contextTokens += load.contextTokens;
    }
}

void PeerLoads::subtract(const PeerLoad &peer)
{
    for (const auto &[endpoint, load] : peer.loads) {
        Load &total = m_totals.at(endpoint);
        total.running -= load.running;
        total.promptTokens -= load.promptTokens;
        total.contextTokens -= load.contextTokens;
        if (total == Load())
            m_totals.erase(endpoint);
    }
}

} // namespace monsoonsail
