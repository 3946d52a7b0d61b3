#include "servers/store/reader_role.h"

#include <algorithm>

namespace monsoonsail {

namespace {

/// One reader may be cut off, killed or refused by the store without anybody noticing at once.
constexpr unsigned readers = 2;
/// Readers know everything that is older than a read of the store, which may wait for a second, and
/// a digest. Beyond this they have lost the store, or we have lost them.
constexpr Duration oldAge = std::chrono::milliseconds(1350);

} // namespace

bool ReaderRole::isReader(const Mesh &mesh, Instant now) const
{
    unsigned before = 0;
    for (const auto &[name, peer] : mesh.peers()) {
        const Digest &digest = peer.digest;
        if (!Mesh::isLive(peer, now) || digest.isStopping || !digest.isReader)
            continue;
        // Only what a reader itself has read counts: what others pass on grows no older on its way
        // than the time that the way takes.
        const Duration since = now - peer.heardAt;
        const bool isFresh = std::max(digest.endpointsAge, digest.configurationAge) + since
                < oldAge + digest.interval;
        if (isFresh && name < m_instance)
            ++before;
    }
    return before < readers;
}

} // namespace monsoonsail
