#include "servers/endpoints/endpoint_feed.h"

#include "core/store_error.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Entries that lapsed during an outage of the store, or that a copy of it lacks, are written again
/// within about 2 s of its return, and later than that no request may reach an endpoint that has
/// ended. An outage was over after the last failed read, so the grace counts from that one.
constexpr Duration lapseGrace = std::chrono::milliseconds(1950);

/// The store drops an entry after three missed heartbeats. The first of them may have been due when
/// the outage began, so entries may lapse after two intervals.
constexpr int heartbeatsToLapse = 2;

/// The data of a reader is never older than the drain time before others read the store as well;
/// this is for their first read and its way here.
constexpr Duration takeoverReserve = std::chrono::seconds(1);

/// By then, the next call after a refused one has been made.
constexpr Duration maxTimeToNextCall = std::chrono::milliseconds(600);

std::string_view stateName(EndpointState state)
{
    switch (state) {
    case EndpointState::Ready:
        return "ready";
    case EndpointState::Unlisted:
        return "unlisted";
    case EndpointState::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace

EndpointFeed::EndpointFeed(ServingContext &context, const SiteCodec &codec)
    : m_context(context)
    , m_codec(codec)
    , m_updateQueue(context.endpoints)
    , m_zoneUpdateQueue(context.endpoints)
{
    m_context.endpoints.setObserver(
            [this](const Endpoint &endpoint) { handleStateChange(endpoint); });
}

void EndpointFeed::onValueChanged(const LogRecord &record, Instant now)
{
    std::string fault;
    auto listing = m_codec.parseEndpointListing(record.key, record.value, now, fault);
    if (!listing) {
        m_context.log.write(LogLevel::Warning, "endpoint-entry-unreadable", {},
                            {{"instance", record.key}, {"reason", fault}});
        return;
    }
    listing->logOffset = record.offset;
    recordPosition(record.offset, now);
    m_isApplyingRead = true;
    m_context.endpoints.applyListing(*listing, now);
    m_isApplyingRead = false;
}

std::vector<std::string> EndpointFeed::knownKeys() const
{
    std::vector<std::string> instances;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        if (endpoint.state == EndpointState::Ready || endpoint.isListed)
            instances.push_back(endpoint.listing.instance);
    }
    return instances;
}

void EndpointFeed::onKeyRemoved(const std::string &key, LogOffset offset, Instant now)
{
    recordPosition(offset, now);
    const Instant lapseGraceUntil =
            mayHaveLapsed(now) ? m_readFailedAt + lapseGrace : m_lapseGraceUntil;
    const Instant usableUntil = std::max(lapseGraceUntil, m_restoreGraceUntil);
    m_isApplyingRead = true;
    m_context.endpoints.markUnlisted(key, offset, usableUntil, now);
    m_isApplyingRead = false;
}

void EndpointFeed::onCaughtUp(LogOffset end, Instant asOf, Instant now)
{
    m_sharesNextRead = false;
    recordPosition(end, now);
    m_context.endpoints.advanceReadEnd(end);
    if (!m_firstReadAt)
        m_firstReadAt = now;
    m_context.endpointsAsOf = asOf;
    if (m_isInterrupted)
        m_regainedAt = now;
    if (std::exchange(m_hasChanges, false) && m_changeHandler)
        m_changeHandler();
    if (mayHaveLapsed(now))
        m_lapseGraceUntil = m_readFailedAt + lapseGrace;
    m_isInterrupted = false;
    m_isRefused = false;
    m_storeReadAt = std::max(m_storeReadAt, asOf);
    for (const EndpointId &endpoint : m_context.endpoints.removeExpired(now)) {
        m_context.enginePlacer->removeEndpoint(endpoint);
        m_context.servicePlacer->removeEndpoint(endpoint);
        m_context.endpointHealth.remove(endpoint);
        m_context.endpointLimits.remove(endpoint);
        m_context.traffic.closeConnections(endpoint);
    }
}

void EndpointFeed::onReadFailed(std::error_code error, Instant /*since*/, Instant now)
{
    m_readFailedAt = now;
    m_isRefused = error == StoreError::Busy;
    m_isInterrupted = true;
}

void EndpointFeed::recordPosition(LogOffset position, Instant now)
{
    const StoreEra era = LogPosition::of(position).era;
    if (m_era && era <= *m_era)
        return;
    // Before the first read, an earlier era is what a peer remembers.
    if (m_era && hasRead())
        m_restoreGraceUntil = now + lapseGrace;
    m_era = era;
}

// If nobody has read the store for longer than another reader takes to stand in for a failed one,
// the store was away, and entries may have lapsed although this instance made no call.
void EndpointFeed::recordStoreReadByPeer(Instant asOf)
{
    const bool wasAway = m_storeReadAt != Instant::min()
            && m_storeReadAt + m_context.limits.drainTime + takeoverReserve < asOf;
    if (wasAway) {
        // A refusal is followed by another call soon, so it is closer to the store's return than
        // the first read of the peer may be. That call may get no answer for longer.
        const bool isRefusalLast = m_isRefused && asOf <= m_readFailedAt + maxTimeToNextCall;
        const Instant returnedAt = isRefusalLast ? std::min(asOf, m_readFailedAt) : asOf;
        m_lapseGraceUntil = std::max(m_lapseGraceUntil, returnedAt + lapseGrace);
    }
    m_storeReadAt = std::max(m_storeReadAt, asOf);
}

// While the store is unreachable, entries lapse although their endpoints are running. One or two
// lost calls don't make entries lapse: an entry that was dropped meanwhile belongs to an endpoint
// that has ended, which must not be used.
bool EndpointFeed::mayHaveLapsed(Instant now) const
{
    // If only this instance was refused or cut off, entries that are gone have not lapsed.
    return m_isInterrupted
            && m_storeReadAt + m_context.limits.heartbeatInterval * heartbeatsToLapse <= now;
}

void EndpointFeed::handleStateChange(const Endpoint &endpoint)
{
    m_hasChanges = true;
    if (m_firstReadAt && m_publishesUpdates)
        m_updateQueue.addListed(endpoint.id, endpoint.logOffset);
    if (m_sharesNextRead && m_isApplyingRead)
        m_zoneUpdateQueue.add(endpoint.id);
    m_context.log.write(LogLevel::Info, "endpoint-state", {},
                        {{"endpoint", endpoint.id.view()},
                         {"service", endpoint.listing.service.view()},
                         {"zone", endpoint.listing.zone.view()},
                         {"reclaimable", endpoint.listing.isReclaimable},
                         {"state", stateName(endpoint.state)}});
}

} // namespace monsoonsail
