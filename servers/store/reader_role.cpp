#include "servers/store/reader_role.h"

#include <algorithm>

namespace monsoonsail {

namespace {

/// One reader may be cut off, killed or refused by the store without anybody noticing at once.
constexpr unsigned requiredReaders = 2;
/// What readers know may become older than endpoints serve on, less this time: a successor has to
/// read the store, and its news has to arrive.
constexpr Duration takeoverTime = std::chrono::milliseconds(650);
/// Instances become readers one after the other, so that one slow digest does not send all of them
/// to the store.
constexpr Duration rankDelay = std::chrono::milliseconds(60);
/// All of them have taken over by then: they may only seem to be there.
constexpr Duration maxRankDelay = std::chrono::milliseconds(600);

} // namespace

void ReaderRole::advance(const Mesh &mesh, Instant now)
{
    unsigned before = 0;
    int rank = 0;
    for (const auto &[name, peer] : mesh.peers()) {
        const Digest &digest = peer.digest;
        if (!Mesh::isLive(peer, now) || digest.isStopping)
            continue;
        rank += name < m_instance ? 1 : 0;
        if (!digest.isReader)
            continue;
        // Only what a reader itself has read counts: what others pass on grows no older on its way
        // than the time that the way takes.
        const Duration since = now - peer.receivedAt;
        const bool isFresh = std::max(digest.endpointsAge, digest.configurationAge) + since
                < m_drainTime - takeoverTime + digest.interval;
        if (isFresh && name < m_instance)
            ++before;
    }
    if (before >= requiredReaders) {
        m_isReader = false;
        m_tooFewReadersSince.reset();
        return;
    }
    if (!m_tooFewReadersSince)
        m_tooFewReadersSince = now;
    m_isReader =
            m_isReader || *m_tooFewReadersSince + std::min(rankDelay * rank, maxRankDelay) <= now;
}

} // namespace monsoonsail
