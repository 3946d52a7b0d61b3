#include "servers/rollout/rollout_decider.h"

namespace monsoonsail {

namespace {
/// Time after the start by which the digests of the live peers have arrived.
constexpr Duration discoveryTime = std::chrono::seconds(2);
} // namespace

std::uint64_t RolloutDecider::number(const Mesh &mesh, std::uint64_t fencingNumber,
                                     std::uint64_t announced, Instant now)
{
    if (!m_firstAskedAt)
        m_firstAskedAt = now;
    if (fencingNumber != 0)
        return fencingNumber;
    // A single instance gets the duties as soon.
    if (mesh.peers().empty() || now < *m_firstAskedAt + discoveryTime)
        return 0;
    bool isFirst = true;
    unsigned silentPeers = 0;
    for (const auto &[name, peer] : mesh.peers()) {
        if (Mesh::isSilent(peer, now)) {
            ++silentPeers;
            continue;
        }
        if (peer.digest.fencingNumber != 0)
            return 0;
        isFirst &= peer.digest.isStopping || m_instance < name;
    }
    // An instance that is cut off from most of the others lacks their evidence.
    if (2 * silentPeers > mesh.peers().size())
        return 0;
    return isFirst || announced != 0 ? standInNumber : 0;
}

} // namespace monsoonsail
