#include "servers/mesh/mesh.h"

#include "core/hash.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace monsoonsail {

namespace {

/// Up to this number of instances, digests are sent at the base interval. Beyond it the interval
/// grows in proportion, so that each instance receives at most about 160 digests a second.
constexpr std::int64_t maxInstancesAtBaseInterval = 40;
/// Up to this number of instances, calls that all of them make are made at their base interval.
constexpr std::int64_t maxInstancesAtBaseCallInterval = 20;
/// Maximum time between two digests of an instance that reads the store. Changes of endpoints have
/// to be repeated within 2 s, after which an endpoint that has ended must not be used.
constexpr Duration maxReaderInterval = std::chrono::milliseconds(500);
/// The first digests of an instance are complete, and every completeDigestPeriod-th later one.
constexpr unsigned initialCompleteDigests = 12;
constexpr unsigned completeDigestPeriod = 8;
/// Few addresses are enough, since instances also discover each other through the store.
constexpr std::size_t peerAddressesPerDigest = 8;
/// Instances of each availability zone that relay a bulletin to the others there.
constexpr std::size_t relaysPerZone = 2;
/// Network delay, plus the time until a digest is sent and read.
constexpr Duration transitTime = std::chrono::milliseconds(50);
/// Missing digests in a row after which a peer counts as silent, and as dead, frozen or cut off.
/// Losing one or two digests is normal.
constexpr int missedDigestsOfSilent = 2;
constexpr int missedDigestsOfDead = 3;
/// A peer that is cut off from this instance may still serve its callers, so its share of the
/// allowances stays reserved. This is longer than network cuts and freezes usually last.
constexpr Duration peerRetention = std::chrono::seconds(15);
/// Addresses that have never answered get digests for a limited time only, and at a longer
/// interval.
constexpr Duration candidateRetention = std::chrono::seconds(60);
constexpr Duration candidateSendInterval = std::chrono::milliseconds(1000);
/// Digests are sent to a silent peer less often than to a live one.
constexpr Duration silentSendInterval = std::chrono::milliseconds(500);

/// Addresses that are kept until they answer. A forged digest may name any number.
constexpr std::size_t maxCandidates = 4096;

template <typename Item>
std::size_t memoryBytes(const std::vector<Item> &items)
{
    return items.capacity() * sizeof(Item);
}

/// Returns the memory that the digest takes, about.
std::size_t memoryBytes(const Digest &digest)
{
    return sizeof(Digest) + digest.instance.size() + digest.incarnation.size()
            + memoryBytes(digest.endpointLoads) + memoryBytes(digest.accountUses)
            + memoryBytes(digest.serviceWork) + memoryBytes(digest.usageCounts)
            + memoryBytes(digest.partCrashes) + memoryBytes(digest.soundParts)
            + memoryBytes(digest.partTrials) + memoryBytes(digest.liveEndpoints)
            + memoryBytes(digest.endpointLimits) + memoryBytes(digest.peerAddresses);
}

/// Returns the time between two digests of an instance that does not read the store.
Duration nonReaderInterval(std::size_t instances)
{
    return std::max(Digest::baseInterval,
                    Digest::baseInterval * static_cast<std::int64_t>(instances)
                            / maxInstancesAtBaseInterval);
}

} // namespace

Mesh::Mesh(std::string instance, std::string address)
    : m_instance(std::move(instance))
    , m_address(std::move(address))
    , m_lastSharedPeer(m_instance)
{ }

void Mesh::addCandidate(const std::string &address, Instant now)
{
    if (address == m_address)
        return;
    const bool isPeer = std::ranges::any_of(m_peers, [&address](const auto &entry) {
        return entry.second.digest.address == address;
    });
    if (isPeer || (m_candidates.size() >= maxCandidates && !m_candidates.contains(address)))
        return;
    m_candidates.try_emplace(address, Candidate{.nextSendAt = now}).first->second.lastMentionedAt =
            now;
}

const Peer *Mesh::applyDigest(Digest digest, Instant now)
{
    if (digest.instance == m_instance || digest.instance.empty())
        return nullptr;
    const auto [entry, isNew] = m_peers.try_emplace(digest.instance);
    Peer &peer = entry->second;
    const bool isSame = peer.digest.incarnation == digest.incarnation;
    if (!isNew && isSame && digest.sequence <= peer.digest.sequence)
        return nullptr;
    // Ignores a delayed datagram of an earlier incarnation.
    if (!isNew && !isSame && digest.sentAt < peer.digest.sentAt && digest.sequence > 1
        && isLive(peer, now))
        return nullptr;
    const std::size_t digestBytes = memoryBytes(digest);
    if (m_digestBytes - peer.digestBytes + digestBytes > m_maxDigestBytes) {
        ++m_refusedDigests;
        if (isNew)
            m_peers.erase(entry);
        return nullptr;
    }
    m_digestBytes += digestBytes - peer.digestBytes;
    peer.digestBytes = digestBytes;
    if (isNew || !isSame || !isLive(peer, now))
        m_hasNewPeers = true;
    m_candidates.erase(digest.address);
    for (const std::string &address : digest.peerAddresses)
        addCandidate(address, now);
    if (isNew || !peer.digest.isReader)
        peer.readerSince = now;
    peer.receivedAt = now;
    peer.clockOffset = digest.sentAt - now;
    peer.digest = std::move(digest);
    return &peer;
}

void Mesh::expire(Instant now)
{
    std::erase_if(m_peers, [this, now](const auto &entry) {
        const bool isExpired = entry.second.receivedAt + peerRetention < now;
        if (isExpired)
            m_digestBytes -= entry.second.digestBytes;
        return isExpired;
    });
    std::erase_if(m_candidates, [now](const auto &entry) {
        return entry.second.lastMentionedAt + candidateRetention < now;
    });
}

std::vector<std::string> Mesh::targets(Instant now)
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        // The entries of m_candidates also schedule the less frequent digests to silent peers.
        if (isLive(peer, now))
            addresses.push_back(peer.digest.address);
        else if (m_candidates.try_emplace(peer.digest.address, Candidate{.lastMentionedAt = now})
                         .first->second.nextSendAt
                 <= now) {
            m_candidates[peer.digest.address] = {.lastMentionedAt = now,
                                                 .nextSendAt = now + silentSendInterval};
            addresses.push_back(peer.digest.address);
        }
    }
    for (auto &[address, candidate] : m_candidates) {
        if (candidate.nextSendAt > now)
            continue;
        candidate.nextSendAt = now + candidateSendInterval;
        addresses.push_back(address);
    }
    return addresses;
}

bool Mesh::isLive(const Peer &peer, Instant now)
{
    return peer.receivedAt + peer.digest.interval * missedDigestsOfDead + 3 * transitTime >= now;
}

bool Mesh::isOverdue(const Peer &peer, Instant now)
{
    return peer.receivedAt + peer.digest.interval + 2 * transitTime < now;
}

bool Mesh::isSilent(const Peer &peer, Instant now)
{
    return peer.receivedAt + peer.digest.interval * missedDigestsOfSilent + 2 * transitTime < now;
}

Duration Mesh::digestInterval(bool isReader) const
{
    const Duration interval = nonReaderInterval(m_peers.size() + 1);
    return isReader ? std::min(interval, maxReaderInterval) : interval;
}

Duration Mesh::scaledInterval(Duration baseInterval) const
{
    const auto instances = static_cast<std::int64_t>(m_peers.size() + 1);
    return std::max(baseInterval, baseInterval * instances / maxInstancesAtBaseCallInterval);
}

bool Mesh::isConnected(Instant now) const
{
    return m_peers.empty() || std::ranges::any_of(m_peers, [now](const auto &entry) {
               return isLive(entry.second, now);
           });
}

bool Mesh::isAmongChosen(std::uint64_t seed, unsigned count, Instant now) const
{
    const std::uint64_t own = stableHash(m_instance, seed);
    const auto before = std::ranges::count_if(m_peers, [&](const auto &entry) {
        return isLive(entry.second, now) && stableHash(entry.first, seed) > own;
    });
    return before < static_cast<std::ptrdiff_t>(count);
}

bool Mesh::usesRelays() const
{
    return static_cast<std::int64_t>(m_peers.size()) >= maxInstancesAtBaseInterval;
}

// A reader that sent a change to each of a hundred peers itself would saturate its link. The relays
// change with each round, so that a few instances that have just died can't hold back a change.
std::vector<std::string> Mesh::bulletinTargets(std::uint64_t round, Instant now) const
{
    std::vector<std::string> addresses;
    std::map<ZoneId, std::vector<std::pair<std::uint64_t, const Peer *>>> ranked;
    for (const auto &[name, peer] : m_peers) {
        // Without relays, silent peers are included: they may still receive datagrams.
        if (!usesRelays())
            addresses.push_back(peer.digest.address);
        else if (isLive(peer, now))
            ranked[peer.digest.zone].emplace_back(stableHash(name, round), &peer);
    }
    for (auto &[zone, peers] : ranked) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(peers.size(), relaysPerZone));
        std::ranges::partial_sort(peers, peers.begin() + count);
        for (const auto &[rank, peer] : std::span(peers).first(static_cast<std::size_t>(count)))
            addresses.push_back(peer->digest.address);
    }
    return addresses;
}

std::vector<std::string> Mesh::livePeersIn(const ZoneId &zone, Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        if (peer.digest.zone == zone && isLive(peer, now))
            addresses.push_back(peer.digest.address);
    }
    return addresses;
}

unsigned Mesh::rankInZone(const ZoneId &zone, Instant now) const
{
    return static_cast<unsigned>(std::ranges::count_if(m_peers, [&](const auto &entry) {
        return entry.second.digest.zone == zone && entry.first < m_instance
                && isLive(entry.second, now);
    }));
}

Duration Mesh::maxPropagationTime(std::size_t instances)
{
    return nonReaderInterval(instances) * missedDigestsOfDead + transitTime;
}

Duration Mesh::typicalAge(std::size_t instances)
{
    return nonReaderInterval(instances) + transitTime;
}

Duration Mesh::typicalPropagationTime(std::size_t instances)
{
    const Duration interval = nonReaderInterval(instances);
    const Duration repeats = (missedDigestsOfDead - 1) * Digest::baseInterval;
    return interval + repeats + transitTime;
}

bool Mesh::consumeCompleteDue()
{
    const unsigned number = m_digestCount++;
    const bool isDue = number < initialCompleteDigests || number % completeDigestPeriod == 0;
    return std::exchange(m_hasNewPeers, false) || isDue;
}

std::vector<std::string> Mesh::nextPeerAddresses(Instant now)
{
    std::vector<std::string> addresses;
    auto next = m_peers.upper_bound(m_lastSharedPeer);
    const std::size_t maxAddresses = std::min(m_peers.size(), peerAddressesPerDigest);
    for (std::size_t count = 0; count < m_peers.size() && addresses.size() < maxAddresses;
         ++count) {
        if (next == m_peers.end())
            next = m_peers.begin();
        m_lastSharedPeer = next->first;
        if (isLive(next->second, now))
            addresses.push_back(next->second.digest.address);
        ++next;
    }
    return addresses;
}

std::vector<std::string> Mesh::dutyHolders(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        if (peer.digest.fencingNumber != 0 && isLive(peer, now))
            addresses.push_back(peer.digest.address);
    }
    return addresses;
}

unsigned Mesh::possibleInstanceCount() const
{
    std::size_t count = m_peers.size() + 1;
    for (const auto &candidate : m_candidates) {
        const bool isPeer = std::ranges::any_of(m_peers, [&candidate](const auto &entry) {
            return entry.second.digest.address == candidate.first;
        });
        count += isPeer ? 0 : 1;
    }
    return static_cast<unsigned>(count);
}

Duration Mesh::clockCorrection() const
{
    std::vector<Duration> offsets{Duration::zero()};
    for (const auto &[name, peer] : m_peers)
        offsets.push_back(peer.clockOffset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle;
}

} // namespace monsoonsail
