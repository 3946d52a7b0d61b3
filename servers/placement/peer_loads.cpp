#include "servers/placement/peer_loads.h"

namespace monsoonsail {

namespace {
/// A peer that is silent for longer is dead or cut off; its requests end within seconds.
constexpr Duration memory = std::chrono::seconds(2);
} // namespace

void PeerLoads::reported(const Peer &peer)
{
    PeerLoad &known = m_peers[peer.digest.instance];
    known.heardAt = peer.heardAt;
    known.loads.clear();
    for (const Digest::EndpointLoad &load : peer.digest.loads) {
        known.loads[load.endpoint] = {.running = static_cast<double>(load.running),
                                      .promptTokens = static_cast<double>(load.promptTokens),
                                      .contextTokens = static_cast<double>(load.contextTokens)};
    }
    sum();
}

void PeerLoads::expire(Instant now)
{
    const auto dropped = std::erase_if(
            m_peers, [now](const auto &entry) { return entry.second.heardAt + memory < now; });
    if (dropped > 0)
        sum();
}

PeerLoads::Load PeerLoads::of(const EndpointId &endpoint) const
{
    const auto entry = m_totals.find(endpoint);
    return entry == m_totals.end() ? Load() : entry->second;
}

void PeerLoads::sum()
{
    m_totals.clear();
    for (const auto &[name, peer] : m_peers) {
        for (const auto &[endpoint, load] : peer.loads) {
            Load &total = m_totals[endpoint];
            total.running += load.running;
            total.promptTokens += load.promptTokens;
            total.contextTokens += load.contextTokens;
        }
    }
}

} // namespace monsoonsail
