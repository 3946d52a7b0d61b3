#include "servers/endpoints/endpoint_registry.h"

#include "core/hash.h"
#include "core/log_position.h"

namespace monsoonsail {

namespace {
/// Time to keep unlisted and leaving endpoints. It exceeds the time that a lapsed entry takes to
/// return (about 2 s after an outage) and the time that a leaving endpoint still serves (seconds).
constexpr Duration inactiveRetention = std::chrono::seconds(60);

StoreEra eraOf(LogOffset position)
{
    return LogPosition::of(position).era;
}
} // namespace

EndpointId endpointId(const std::string &instance, std::int64_t startedMs)
{
    return EndpointId(instance + "/" + std::to_string(startedMs));
}

void EndpointRegistry::applyListing(const EndpointListing &listing, Instant now)
{
    const EndpointId id = endpointId(listing.instance, listing.startedMs);
    const auto current = m_currentIncarnations.find(listing.instance);
    if (current != m_currentIncarnations.end() && current->second != id) {
        Endpoint &known = m_endpoints.at(current->second);
        if (known.listing.startedMs > listing.startedMs)
            return;
        // The instance has restarted, so its earlier incarnation has ended.
        const bool wasReady = known.state == EndpointState::Ready;
        change(known, wasReady ? EndpointState::Unlisted : known.state, false, now);
    }
    m_currentIncarnations[listing.instance] = id;
    const auto [entry, isNew] = m_endpoints.try_emplace(id);
    Endpoint &endpoint = entry->second;
    if (!isNew && isFromCopy(endpoint, listing)) {
        applyCopiedEntry(endpoint, listing, now);
        return;
    }
    const bool isOlder =
            endpoint.logOffset > listing.logOffset || endpoint.listing.sequence > listing.sequence;
    if (!isNew && isOlder)
        return;
    endpoint.id = id;
    endpoint.listing = listing;
    endpoint.logOffset = listing.logOffset;
    const EndpointState state = listing.isLeaving || endpoint.state == EndpointState::Leaving
            ? EndpointState::Leaving
            : EndpointState::Ready;
    if (isNew)
        endpoint.stateSince = now;
    change(endpoint, state, !listing.isLeaving, now);
}

bool EndpointRegistry::isFromCopy(const Endpoint &endpoint, const EndpointListing &listing)
{
    const StoreEra era = eraOf(listing.logOffset);
    const bool isNewEra =
            era > eraOf(endpoint.listing.logOffset) && endpoint.logOffset <= listing.logOffset;
    return isNewEra && !isWrittenAgain(endpoint, listing.logOffset)
            && listing.sequence <= endpoint.listing.sequence;
}

bool EndpointRegistry::isWrittenAgain(const Endpoint &endpoint, LogOffset position)
{
    if (endpoint.state != EndpointState::Unlisted)
        return false;
    const StoreEra era = eraOf(position);
    const StoreEra droppedIn = eraOf(endpoint.logOffset);
    if (droppedIn == era)
        return true;
    // A copy lists one entry of the instance, and has none of after a removal that it lacks.
    if (eraOf(endpoint.copiedOffset) == era)
        return endpoint.copiedOffset < position;
    const std::uint64_t offset = LogPosition::of(position).offset;
    return droppedIn + 1 == era && LogPosition::of(endpoint.logOffset).offset < offset
            && LogPosition::of(endpoint.listing.logOffset).offset < offset;
}

void EndpointRegistry::applyCopiedEntry(Endpoint &endpoint, const EndpointListing &listing,
                                        Instant now)
{
    // The offset of an unlisted endpoint stays that of its removal, which shows when it is written
    // again.
    if (endpoint.state == EndpointState::Unlisted)
        endpoint.copiedOffset = listing.logOffset;
    else
        endpoint.logOffset = listing.logOffset;
    const EndpointState state = listing.isLeaving ? EndpointState::Leaving : endpoint.state;
    change(endpoint, state, !listing.isLeaving, now);
}

void EndpointRegistry::markUnlisted(const std::string &instance, std::uint64_t logOffset,
                                    Instant usableUntil, Instant now)
{
    const auto current = m_currentIncarnations.find(instance);
    if (current == m_currentIncarnations.end())
        return;
    Endpoint &endpoint = m_endpoints.at(current->second);
    if (endpoint.logOffset > logOffset)
        return;
    endpoint.logOffset = logOffset;
    const bool wasReady = endpoint.state == EndpointState::Ready;
    if (wasReady)
        endpoint.usableUntil = usableUntil;
    change(endpoint, wasReady ? EndpointState::Unlisted : endpoint.state, false, now);
}

void EndpointRegistry::applyListState(const EndpointId &endpoint, std::uint64_t logOffset,
                                      bool isListed, Instant now)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end() || entry->second.logOffset > logOffset)
        return;
    entry->second.logOffset = logOffset;
    // An incarnation that has been replaced is no longer listed, whatever the author knows.
    const bool isCurrent = m_currentIncarnations.at(entry->second.listing.instance) == endpoint;
    change(entry->second, entry->second.state, isListed && isCurrent, now);
}

void EndpointRegistry::raiseSequence(const EndpointId &endpoint, std::uint64_t sequence)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return;
    std::uint64_t &known = entry->second.listing.sequence;
    known = std::max(known, sequence);
}

void EndpointRegistry::markLeaving(const EndpointId &endpoint, Instant now,
                                   std::optional<Instant> leavesAt)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return;
    if (leavesAt)
        entry->second.listing.leavesAt = leavesAt;
    change(entry->second, EndpointState::Leaving, entry->second.isListed, now);
}

const Endpoint *EndpointRegistry::find(const EndpointId &endpoint) const
{
    const auto entry = m_endpoints.find(endpoint);
    return entry == m_endpoints.end() ? nullptr : &entry->second;
}

bool EndpointRegistry::isReplaced(const EndpointId &endpoint) const
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return false;
    const auto current = m_currentIncarnations.find(entry->second.listing.instance);
    return current != m_currentIncarnations.end() && current->second != endpoint;
}

std::vector<EndpointId> EndpointRegistry::removeExpired(Instant now)
{
    std::vector<EndpointId> expired;
    for (const auto &[id, endpoint] : m_endpoints) {
        // While a leaving endpoint is still listed, its next entry would make it ready again.
        if (endpoint.state != EndpointState::Ready && !endpoint.isListed
            && endpoint.stateSince + inactiveRetention < now)
            expired.push_back(id);
    }
    for (const EndpointId &id : expired) {
        const std::string instance = m_endpoints.at(id).listing.instance;
        m_endpoints.erase(id);
        const auto current = m_currentIncarnations.find(instance);
        if (current != m_currentIncarnations.end() && current->second == id)
            m_currentIncarnations.erase(current);
    }
    return expired;
}

void EndpointRegistry::change(Endpoint &endpoint, EndpointState state, bool isListed, Instant now)
{
    if (endpoint.state == state && endpoint.isListed == isListed)
        return;
    if (endpoint.state != state)
        endpoint.stateSince = now;
    if (endpoint.isListed != isListed) {
        const std::uint64_t hash = stableHash(endpoint.id.view());
        m_listChecksum += isListed ? hash : -hash;
    }
    endpoint.state = state;
    endpoint.isListed = isListed;
    if (m_observer)
        m_observer(endpoint);
}

} // namespace monsoonsail
