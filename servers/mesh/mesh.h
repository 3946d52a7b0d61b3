#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/digest.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Another entry instance.
struct Peer
{
    Digest digest; ///< The newest one.
    Instant receivedAt;
    Duration clockOffset{}; ///< Its clock minus ours.
};

/// The other entry instances, as far as their digests tell.
class Mesh
{
public:
    /// `instance` is the name and `address` the digest address of this instance.
    Mesh(std::string instance, std::string address);

    /// Learns of an address at which an entry instance may be.
    void addCandidate(const std::string &address, Instant now);
    /// Takes over a digest. Returns the peer, or nullptr if the digest is old or our own.
    const Peer *applyDigest(Digest digest, Instant now);
    /// Drops peers that have long been silent.
    void expire(Instant now);

    /// Returns the addresses that the next digest goes to. Those that don't answer get it rarely.
    std::vector<std::string> targets(Instant now);
    /// Returns the peers by name, the silent ones included.
    const std::map<std::string, Peer> &peers() const { return m_peers; }
    /// Whether the peer has been heard recently: three digests in a row are missing otherwise.
    static bool isLive(const Peer &peer, Instant now);
    /// Whether a digest of the peer should have been here.
    static bool isOverdue(const Peer &peer, Instant now);
    /// Whether the peer has missed two digests.
    static bool isSilent(const Peer &peer, Instant now);
    /// Returns the time from one digest of an instance to its next. It grows with their number, so
    /// that what each instance has to send and to read stays bounded. Those that read the store
    /// tell their news sooner.
    Duration digestInterval(bool isReader) const;
    /// Returns `usual` stretched like the interval of digests, for calls that all instances make.
    Duration scaledInterval(Duration baseInterval) const;
    /// Whether there are so many instances that bulletins are passed on within availability zones.
    bool usesRelays() const;
    /// Whether some peer is live, or none is known at all.
    bool isConnected(Instant now) const;
    /// Returns the addresses that a bulletin goes to: all peers, or two live ones in each
    /// availability zone, other ones in each round.
    std::vector<std::string> bulletinTargets(std::uint64_t round, Instant now) const;
    /// Returns the addresses of the live peers in an availability zone.
    std::vector<std::string> livePeersIn(const ZoneId &zone, Instant now) const;
    /// Returns the time until every other of so many instances has heard of something that happens
    /// here, or has noticed that it hears nothing.
    static Duration maxPropagationTime(std::size_t instances);
    /// Returns how old what one of so many instances knows of the others is at most as a rule.
    static Duration typicalAge(std::size_t instances);
    /// Returns the time until nearly all of them have. Among many instances a few that have lost
    /// digests don't matter.
    static Duration typicalPropagationTime(std::size_t instances);
    /// Returns the entry instances that count: this one, and every peer that may still be serving.
    unsigned instanceCount() const { return static_cast<unsigned>(m_peers.size()) + 1; }
    /// Returns the entry instances that may be there, those included that have only been heard of
    /// and may have just started as well.
    unsigned possibleInstanceCount() const;
    /// Whether the next digest has to tell everything: now and then, and when somebody may have
    /// missed the digests before. Called for each digest.
    bool consumeCompleteDue();
    /// Returns addresses of live peers for the next digest; of many peers some in turn.
    std::vector<std::string> nextPeerAddresses(Instant now);
    /// Returns the addresses of the peers that hold the duties as far as they know.
    std::vector<std::string> dutyHolders(Instant now) const;
    /// Returns what to add to our clock to get the time that most instances agree on.
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
    std::map<std::string, Candidate> m_candidates; ///< Addresses without a peer, by address.
    unsigned m_digestCount = 0;                    ///< Sent so far.
    bool m_hasNewPeers = false;                    ///< Since the last complete digest.
    std::string m_lastSharedPeer; ///< Name of the peer whose address was told last.
};

} // namespace monsoonsail
