#include "servers/mesh/mesh.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Three digests in a row were lost, or the peer is frozen, cut off or dead.
constexpr Duration liveTime = std::chrono::milliseconds(900);
/// A peer that is cut off from us may go on serving its callers, so its share of the allowances
/// stays reserved. Longer than cuts and freezes usually last.
constexpr Duration peerMemory = std::chrono::seconds(15);
/// Addresses that never answered are tried for a while, rarely.
constexpr Duration candidateMemory = std::chrono::seconds(60);
constexpr Duration candidateInterval = std::chrono::milliseconds(1000);
/// A silent peer is tried less often than a live one.
constexpr Duration silentInterval = std::chrono::milliseconds(500);

} // namespace

Mesh::Mesh(std::string instance, std::string address)
    : m_instance(std::move(instance))
    , m_address(std::move(address))
{ }

void Mesh::learn(const std::string &address, Instant now)
{
    if (address == m_address)
        return;
    const bool isPeer = std::ranges::any_of(m_peers, [&address](const auto &entry) {
        return entry.second.digest.address == address;
    });
    if (isPeer)
        return;
    m_candidates.try_emplace(address, Candidate{.nextTry = now}).first->second.learnedAt = now;
}

const Peer *Mesh::received(const Digest &digest, Instant now)
{
    if (digest.instance == m_instance || digest.instance.empty())
        return nullptr;
    const auto [entry, isNew] = m_peers.try_emplace(digest.instance);
    Peer &peer = entry->second;
    const bool isSame = peer.digest.incarnation == digest.incarnation;
    if (!isNew && isSame && digest.sequence <= peer.digest.sequence)
        return nullptr;
    // A datagram of an earlier life that was held up on the way.
    if (!isNew && !isSame && digest.sentAt < peer.digest.sentAt && digest.sequence > 1
        && isLive(peer, now))
        return nullptr;
    peer.digest = digest;
    peer.heardAt = now;
    peer.clockOffset = digest.sentAt - now;
    m_candidates.erase(digest.address);
    for (const std::string &address : digest.neighbours)
        learn(address, now);
    return &peer;
}

void Mesh::expire(Instant now)
{
    std::erase_if(m_peers,
                  [now](const auto &entry) { return entry.second.heardAt + peerMemory < now; });
    std::erase_if(m_candidates, [now](const auto &entry) {
        return entry.second.learnedAt + candidateMemory < now;
    });
}

std::vector<std::string> Mesh::targets(Instant now)
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        // Candidates and silent peers share the schedule of rare tries.
        if (isLive(peer, now))
            addresses.push_back(peer.digest.address);
        else if (m_candidates.try_emplace(peer.digest.address, Candidate{.learnedAt = now})
                         .first->second.nextTry
                 <= now) {
            m_candidates[peer.digest.address] = {.learnedAt = now, .nextTry = now + silentInterval};
            addresses.push_back(peer.digest.address);
        }
    }
    for (auto &[address, candidate] : m_candidates) {
        if (candidate.nextTry > now)
            continue;
        candidate.nextTry = now + candidateInterval;
        addresses.push_back(address);
    }
    return addresses;
}

bool Mesh::isLive(const Peer &peer, Instant now)
{
    return peer.heardAt + liveTime >= now;
}

std::vector<std::string> Mesh::liveAddresses(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer, now))
            addresses.push_back(peer.digest.address);
    }
    return addresses;
}

unsigned Mesh::expectedCount() const
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
