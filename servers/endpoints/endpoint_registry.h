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

/// The endpoints that the platform lists, by incarnation.
class EndpointRegistry
{
public:
    /// Told of endpoints whose state has changed.
    using Observer = std::function<void(const Endpoint &)>;

    void setObserver(Observer observer) { m_observer = std::move(observer); }

    /// Takes over an entry of the list. Entries of an earlier incarnation, or older than what is
    /// known, change nothing.
    void applyListing(const EndpointListing &listing, Instant now);
    /// The instance has no entry any more since this place in the list's log, unless a later entry
    /// is known. Its endpoint stays usable until `usableUntil`.
    void markUnlisted(const std::string &instance, std::uint64_t logOffset, Instant usableUntil,
                      Instant now);
    /// All of the list's log before this place has been taken over: what is not known from it was
    /// dropped. The place never falls.
    void advanceReadEnd(std::uint64_t logOffset) { m_readEnd = std::max(m_readEnd, logOffset); }
    /// The endpoint itself, or another entry instance, says that it leaves, and perhaps when it
    /// ends.
    void markLeaving(const EndpointId &endpoint, Instant now,
                     std::optional<Instant> leavesAt = std::nullopt);

    /// Returns the endpoint, or nullptr if it was never listed or has been forgotten.
    const Endpoint *find(const EndpointId &endpoint) const;
    /// Whether the list has been read beyond this place.
    bool hasRead(std::uint64_t logOffset) const { return logOffset < m_readEnd; }
    /// Returns all endpoints that are known, in order of id.
    const std::map<EndpointId, Endpoint> &all() const { return m_endpoints; }
    /// Drops endpoints that have long been unlisted and returns them.
    std::vector<EndpointId> removeExpired(Instant now);

private:
    void setState(Endpoint &endpoint, EndpointState state, Instant now);

    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<std::string, EndpointId, std::less<>>
            m_currentIncarnations; ///< Newest incarnation by instance.
    std::uint64_t m_readEnd = 0;
    Observer m_observer;
};

/// Returns the id of an incarnation.
EndpointId endpointId(const std::string &instance, std::int64_t startedMs);

} // namespace monsoonsail
