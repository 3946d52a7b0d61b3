#include "servers/store/reader_role.h"

#include <algorithm>

namespace monsoonsail {

namespace {

/// A single reader may be cut off, killed or refused by the store without being noticed at once.
constexpr unsigned requiredReaders = 2;
/// The data of a reader must be younger than the drain time of endpoints by this margin, in which a
/// successor reads the store and informs the others.
constexpr Duration takeoverTime = std::chrono::milliseconds(650);
/// The same for the time until a configuration must be in force. It covers the delays by rank, and
/// a digest of the successor that gets lost.
constexpr Duration configurationTakeoverTime = std::chrono::milliseconds(900);
/// Longer than a reader's long poll, during which its data gets older although it reads.
constexpr Duration minMaxAge = std::chrono::milliseconds(1000);
/// The first instance of an availability zone stands in for readers whose data is older. So the
/// readers know, before entries lapse, whether the store is away or only refuses them.
constexpr Duration maxAgeForFirstOfZone = std::chrono::milliseconds(1700);
/// Delay between instances that follow each other by name, so that one late digest does not make
/// all of them read the store.
constexpr Duration rankDelay = std::chrono::milliseconds(60);
/// Longest delay by rank. After it all instances take over, since those with smaller names may only
/// appear to be live.
constexpr Duration maxRankDelay = std::chrono::milliseconds(600);

} // namespace

Duration ReaderRole::maxAge(bool isFirstOfZone) const
{
    const Duration age = std::min(m_bounds.drainTime - takeoverTime,
                                  m_bounds.configurationTime - configurationTakeoverTime);
    return std::max(minMaxAge, isFirstOfZone ? std::min(age, maxAgeForFirstOfZone) : age);
}

void ReaderRole::advance(const Mesh &mesh, Instant now)
{
    const bool isFirstOfZone = std::ranges::none_of(mesh.peers(), [&](const auto &entry) {
        return entry.second.digest.zone == m_zone && entry.first < m_instance
                && Mesh::isLive(entry.second, now);
    });
    const Duration recentAge = maxAge(isFirstOfZone);
    unsigned precedingReaders = 0;
    int rank = 0;
    for (const auto &[name, peer] : mesh.peers()) {
        const Digest &digest = peer.digest;
        if (!Mesh::isLive(peer, now) || digest.isStopping)
            continue;
        rank += name < m_instance ? 1 : 0;
        if (!digest.isReader)
            continue;
        // Only the age of what a reader itself has read counts. What other instances relay is older
        // only by the time of the transmission.
        const Duration since = now - peer.receivedAt;
        const bool isFresh = std::max(digest.endpointsAge, digest.configurationAge) + since
                < recentAge + digest.interval;
        if (isFresh && name < m_instance)
            ++precedingReaders;
    }
    if (precedingReaders >= requiredReaders) {
        m_isReader = false;
        m_tooFewReadersSince.reset();
        return;
    }
    if (!m_tooFewReadersSince)
        m_tooFewReadersSince = now;
    const Duration delay =
            isFirstOfZone ? Duration::zero() : std::min(rankDelay * rank, maxRankDelay);
    m_isReader = m_isReader || *m_tooFewReadersSince + delay <= now;
}

} // namespace monsoonsail
