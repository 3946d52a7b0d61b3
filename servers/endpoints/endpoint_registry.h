#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// The endpoints that the platform lists or has recently listed, by incarnation.
class EndpointRegistry
{
public:
    /// Called with each endpoint whose state or listing as ready has changed.
    using Observer = std::function<void(const Endpoint &)>;

    void setObserver(Observer observer) { m_observer = std::move(observer); }

    /// Applies an entry of the list. An entry of an earlier incarnation, or one that is older than
    /// the known entry, changes nothing. An entry from a copy of the store that is no newer than
    /// the known one makes no endpoint usable.
    void applyListing(const EndpointListing &listing, Instant now);
    /// Applies the removal of the instance's entry at this offset, unless a later entry is known.
    /// The endpoint stays usable until `usableUntil`.
    void markUnlisted(const std::string &instance, std::uint64_t logOffset, Instant usableUntil,
                      Instant now);
    /// Applies what another entry instance knows from the record at this offset, unless a later
    /// record is known.
    void applyListState(const EndpointId &endpoint, std::uint64_t logOffset, bool isListed,
                        Instant now);
    /// Records that the endpoint has written an entry with this sequence number.
    void raiseSequence(const EndpointId &endpoint, std::uint64_t sequence);
    /// Records that all of the list's log before this offset has been applied: an endpoint listed
    /// there that is not in the registry has been dropped. The offset never decreases.
    void advanceReadEnd(std::uint64_t logOffset) { m_readEnd = std::max(m_readEnd, logOffset); }
    /// Records that the endpoint has announced, itself or through another entry instance, that it
    /// ends, and when, if that is known.
    void markLeaving(const EndpointId &endpoint, Instant now,
                     std::optional<Instant> leavesAt = std::nullopt);

    /// Returns the endpoint, or nullptr if it was never listed or has expired.
    const Endpoint *find(const EndpointId &endpoint) const;
    /// Whether a later incarnation of the endpoint's instance has been listed.
    bool isReplaced(const EndpointId &endpoint) const;
    /// Whether the record at this offset of the list's log has been read.
    bool hasRead(std::uint64_t logOffset) const { return logOffset < m_readEnd; }
    /// Returns the end of the part of the list's log that has been read.
    std::uint64_t readEnd() const { return m_readEnd; }
    /// Returns a checksum of the endpoints that are listed as ready. It is the same on all entry
    /// instances that know the same endpoints.
    std::uint64_t listChecksum() const { return m_listChecksum; }
    /// Returns all known endpoints, ordered by id.
    const std::map<EndpointId, Endpoint> &all() const { return m_endpoints; }
    /// Removes and returns endpoints that have been unlisted or leaving for a long time.
    std::vector<EndpointId> removeExpired(Instant now);

private:
    /// Whether the entry is one that the store has again from a copy, so that its later position
    /// does not make it newer.
    static bool isFromCopy(const Endpoint &endpoint, const EndpointListing &listing);
    /// Whether an unlisted endpoint has written the entry at this position since its removal.
    static bool isWrittenAgain(const Endpoint &endpoint, LogOffset position);
    void applyCopiedEntry(Endpoint &endpoint, const EndpointListing &listing, Instant now);
    /// Sets the state and `isListed` of an endpoint and informs the observer of a change.
    void change(Endpoint &endpoint, EndpointState state, bool isListed, Instant now);

    std::map<EndpointId, Endpoint> m_endpoints;
    /// The newest incarnation of each instance.
    std::map<std::string, EndpointId, std::less<>> m_currentIncarnations;
    std::uint64_t m_readEnd = 0;
    /// Sum of the hashes of the listed endpoints, so that their order doesn't matter.
    std::uint64_t m_listChecksum = 0;
    Observer m_observer;
};

/// Returns the endpoint id of an incarnation of an instance.
EndpointId endpointId(const std::string &instance, std::int64_t startedMs);

} // namespace monsoonsail
