#include "servers/endpoints/preceding_readers.h"

#include <algorithm>
#include <functional>

namespace monsoonsail {

// A whole availability zone may be cut off from the store, so new readers of other zones don't
// count.
PrecedingReaders PrecedingReaders::of(std::string_view instance, const ZoneId &zone,
                                      const Mesh &mesh, Instant now)
{
    PrecedingReaders readers;
    // The next digest of a new reader may still be that of a timer from before.
    const Duration newFor = mesh.digestInterval(false) + startTime;
    for (const auto &[name, peer] : mesh.peers()) {
        const Digest &digest = peer.digest;
        if (name >= instance || !digest.isReader || digest.isStopping || !Mesh::isLive(peer, now))
            continue;
        ++readers.m_count;
        if (digest.zone == zone && now < peer.readerSince + newFor)
            ++readers.m_newInZone;
        readers.m_reportInterval = std::max(readers.m_reportInterval, digest.interval);
        LogOffset &least = readers.m_knownEnds.back();
        least = std::max(least, digest.listEnd);
        std::ranges::sort(readers.m_knownEnds, std::greater());
    }
    return readers;
}

} // namespace monsoonsail
