#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/digest.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// What is known about another entry instance.
struct Peer
{
    Digest digest;               ///< Its newest digest.
    Instant receivedAt;          ///< When that digest arrived.
    Duration clockOffset{};      ///< The peer's clock minus the local clock.
    std::size_t digestBytes = 0; ///< Memory that the digest takes, about.
    Instant readerSince; ///< When the first of its digests in a row arrived that name a reader.
};

/// The other entry instances as known from their digests.
class Mesh
{
public:
    /// `instance` is the name and `address` the digest address of this instance.
    Mesh(std::string instance, std::string address);

    /// Bounds the memory for the newest digests of all peers together. What exceeds it is refused.
    void setMaxDigestBytes(std::size_t bytes) { m_maxDigestBytes = bytes; }
    /// Returns how many digests were refused for it.
    std::uint64_t refusedDigests() const { return m_refusedDigests; }
    /// Adds an address at which an entry instance may receive digests.
    void addCandidate(const std::string &address, Instant now);
    /// Applies a digest. Returns the peer that sent it, or nullptr if the digest is out of date,
    /// was sent by this instance or takes too much memory.
    const Peer *applyDigest(Digest digest, Instant now);
    /// Removes peers that have been silent for a long time and addresses that never answered.
    void expire(Instant now);

    /// Returns the addresses to send the next digest to. Those that don't answer are included at
    /// longer intervals.
    std::vector<std::string> targets(Instant now);
    /// Returns the peers by instance name, including silent ones.
    const std::map<std::string, Peer> &peers() const { return m_peers; }
    /// Whether a digest of the peer arrived recently, so that fewer than three in a row are
    /// missing.
    static bool isLive(const Peer &peer, Instant now);
    /// Whether the next digest of the peer should have arrived.
    static bool isOverdue(const Peer &peer, Instant now);
    /// Whether two digests of the peer in a row are missing.
    static bool isSilent(const Peer &peer, Instant now);
    /// Returns the time between two digests of this instance. It grows with the number of
    /// instances, so that the traffic of each one stays bounded. Instances that read the store have
    /// a lower maximum.
    Duration digestInterval(bool isReader) const;
    /// Returns the interval of calls that all instances make: `baseInterval`, or longer in
    /// proportion to the number of instances if there are many.
    Duration scaledInterval(Duration baseInterval) const;
    /// Whether there are so many instances that bulletins are relayed within availability zones.
    bool usesRelays() const;
    /// Whether a peer is live, or no peer is known at all.
    bool isConnected(Instant now) const;
    /// Whether this instance is one of the `count` that `seed` chooses among itself and its live
    /// peers. They all choose the same ones if they know each other.
    bool isAmongChosen(std::uint64_t seed, unsigned count, Instant now) const;
    /// Returns the addresses to send a bulletin to: those of all peers, or, if usesRelays(), of two
    /// live peers in each availability zone that change with each round.
    std::vector<std::string> bulletinTargets(std::uint64_t round, Instant now) const;
    /// Returns the addresses of the live peers in an availability zone.
    std::vector<std::string> livePeersIn(const ZoneId &zone, Instant now) const;
    /// Returns the number of live peers in an availability zone whose names come before that of
    /// this instance.
    unsigned rankInZone(const ZoneId &zone, Instant now) const;
    /// Returns the time until each of the given number of instances has received a change made
    /// here, or has detected that it receives no digests.
    static Duration maxPropagationTime(std::size_t instances);
    /// Returns the maximum age of what one of the given number of instances knows about the others
    /// if no digests are lost.
    static Duration typicalAge(std::size_t instances);
    /// Like maxPropagationTime(), but for nearly all instances: among many, a few that have lost
    /// digests don't matter.
    static Duration typicalPropagationTime(std::size_t instances);
    /// Returns the number of entry instances: this one, and every peer that may still be serving.
    unsigned instanceCount() const { return static_cast<unsigned>(m_peers.size()) + 1; }
    /// Returns the number of entry instances that may exist, including those of which only the
    /// address is known and which may just have started.
    unsigned possibleInstanceCount() const;
    /// Whether the next digest has to be complete: this is so periodically, and after a peer
    /// appears that may have missed earlier digests. Call it once for each digest.
    bool consumeCompleteDue();
    /// Returns addresses of live peers for the next complete digest: all if there are few,
    /// otherwise some of them in turn.
    std::vector<std::string> nextPeerAddresses(Instant now);
    /// Returns the addresses of the live peers that announce that they hold the duties.
    std::vector<std::string> dutyHolders(Instant now) const;
    /// Returns the median of the clocks of all instances minus the local clock. The median is used
    /// so that the wrong clocks of a few instances have no effect.
    Duration clockCorrection() const;

private:
    struct Candidate
    {
        Instant lastMentionedAt;
        Instant nextSendAt;
    };

    const std::string m_instance;
    const std::string m_address;
    std::map<std::string, Peer> m_peers;
    /// Addresses without a peer, and those of silent peers for the schedule of targets().
    std::map<std::string, Candidate> m_candidates;
    unsigned m_digestCount = 0; ///< Sent so far.
    std::size_t m_maxDigestBytes = std::numeric_limits<std::size_t>::max();
    std::size_t m_digestBytes = 0; ///< Of all peers.
    std::uint64_t m_refusedDigests = 0;
    bool m_hasNewPeers = false;   ///< Whether a peer appeared since the last complete digest.
    std::string m_lastSharedPeer; ///< Name of the peer whose address was sent last.
};

} // namespace monsoonsail
