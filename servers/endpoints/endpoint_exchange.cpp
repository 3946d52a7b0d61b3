#include "servers/endpoints/endpoint_exchange.h"

#include "servers/endpoints/endpoint_update.h"
#include "servers/endpoints/preceding_readers.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace monsoonsail {

namespace {
/// Minimum time between two bulletins, so that changes in quick succession share one.
constexpr Duration minBulletinInterval = std::chrono::milliseconds(40);
/// Delay between the instances of an availability zone that have missed the same change, so that
/// the first one can read the list and tell the others.
constexpr Duration rankDelay = std::chrono::milliseconds(30);
constexpr Duration maxRankDelay = std::chrono::milliseconds(450);
/// Each endpoint writes about once a second, so without a minimum interval every write would cost a
/// call. The interval is short because some endpoints end 1.5 s after they announce it, and their
/// runs have to be moved by then.
constexpr TopicFollower::Timing timing{.longPollTime = std::chrono::milliseconds(800),
                                       .minInterval = std::chrono::milliseconds(200),
                                       .passiveInterval = EndpointExchange::passiveInterval};

ReaderRole::Bounds readerBounds(const ServingLimits &limits)
{
    return {.drainTime = limits.drainTime, .configurationTime = limits.configurationTime};
}

} // namespace

EndpointExchange::EndpointExchange(const std::string &instance, ServingContext &context,
                                   const SiteCodec &codec, RecordLog &log, const Mesh &mesh,
                                   BulletinPort &bulletins, TopicFollower::Scheduler scheduler)
    : m_instance(instance)
    , m_context(context)
    , m_mesh(mesh)
    , m_bulletins(bulletins)
    , m_scheduler(std::move(scheduler))
    , m_feed(context, codec)
    , m_follower(std::string(codec.endpointTopic()), timing, log, m_feed, m_scheduler, context.log)
    , m_readerRole(instance, context.zone, readerBounds(context.limits))
    , m_comparison(context.endpoints)
{ }

void EndpointExchange::start()
{
    m_feed.setChangeHandler([this] { sendBulletin(m_scheduler.now()); });
    m_follower.start();
}

void EndpointExchange::applyLimits()
{
    m_readerRole.setBounds(readerBounds(m_context.limits));
}

void EndpointExchange::advance(Instant now)
{
    updateReaderRole(now);
    updateAge(now);
    checkForMissedChanges(now);
    sendBulletin(now);
}

void EndpointExchange::updateReaderRole(Instant now)
{
    m_readerRole.advance(m_mesh, now);
    const bool isReader = m_readerRole.isReader();
    if (isReader != m_follower.isActive())
        m_context.log.write(LogLevel::Info, "reader-role", {}, {{"reader", isReader}});
    m_follower.setActive(isReader);
    // Only readers send changes: otherwise every instance would send each change to all others. An
    // instance that receives no digests of a reader becomes one itself.
    m_feed.setPublishesUpdates(isReader);
    m_follower.setPassiveInterval(m_mesh.scaledInterval(passiveInterval));
}

void EndpointExchange::updateAge(Instant now)
{
    for (const auto &[name, peer] : m_mesh.peers()) {
        if (!peer.digest.isReader || !Mesh::isLive(peer, now))
            continue;
        const Instant asOf = peer.receivedAt - peer.digest.endpointsAge;
        m_feed.recordStoreReadByPeer(asOf);
        if (!isReader() && m_comparison.agreesWith(name))
            m_context.endpointsAsOf = std::max(m_context.endpointsAsOf, asOf);
    }
}

void EndpointExchange::publish(const EndpointId &endpoint, Instant now)
{
    m_feed.updateQueue().add(endpoint);
    sendBulletin(now);
}

void EndpointExchange::sendBulletin(Instant now)
{
    if (now < m_bulletinSentAt + minBulletinInterval)
        return;
    const bool holdsListed = leaveToPrecedingReaders(now);
    sendUpdates(m_feed.updateQueue().takeDue(now, holdsListed), false, now);
    sendUpdates(m_feed.zoneUpdateQueue().takeDue(now), true, now);
}

// In an outage all instances become readers. If each of them told the others what has changed,
// their links would be full for seconds.
bool EndpointExchange::leaveToPrecedingReaders(Instant now)
{
    const PrecedingReaders preceding =
            PrecedingReaders::of(m_instance, m_context.zone, m_mesh, now);
    if (!preceding.areEnough())
        return false;
    m_feed.updateQueue().removeListed(preceding.knownEnd());
    const bool hasJustRegained = m_feed.regainedAt() != Instant::min()
            && now < m_feed.regainedAt() + PrecedingReaders::startTime + preceding.reportInterval();
    return !isReader() || preceding.areEnoughNewInZone() || m_feed.isInterrupted()
            || hasJustRegained;
}

void EndpointExchange::sendUpdates(std::vector<EndpointUpdate> updates, bool isForZone, Instant now)
{
    if (updates.empty())
        return;
    m_bulletinSentAt = now;
    const Bulletin bulletin{.sentAt = now,
                            .needsZoneRelay = !isForZone && m_mesh.usesRelays(),
                            .updates = std::move(updates)};
    m_bulletins.send(bulletin,
                     isForZone ? m_mesh.livePeersIn(m_context.zone, now)
                               : m_mesh.bulletinTargets(++m_bulletinRound, now));
}

void EndpointExchange::handleBulletin(const Bulletin &bulletin, Instant now)
{
    if (bulletin.needsZoneRelay) {
        Bulletin copy = bulletin;
        copy.needsZoneRelay = false;
        m_bulletins.send(copy, m_mesh.livePeersIn(m_context.zone, now));
    }
    for (const EndpointUpdate &update : bulletin.updates) {
        m_feed.recordPosition(update.listing.logOffset, now);
        const EndpointId id = endpointId(update.listing.instance, update.listing.startedMs);
        const Endpoint *before = m_context.endpoints.find(id);
        const auto stateBefore = before != nullptr ? std::optional(before->state) : std::nullopt;
        applyEndpointUpdate(update, bulletin.sentAt - now, m_context.endpoints, now);
        const Endpoint *endpoint = m_context.endpoints.find(id);
        if (endpoint != nullptr && endpoint->state != stateBefore)
            m_context.metrics.recordEndpointUpdate(update.age);
    }
    m_comparison.update(now);
}

void EndpointExchange::handleDigest(const Peer &peer, Instant now)
{
    const Digest &digest = peer.digest;
    if (!digest.isReader || digest.listEnd == 0)
        return;
    m_feed.recordPosition(digest.listEnd, now);
    if (isReader())
        return;
    m_comparison.recordReport(digest.instance,
                              {.listEnd = digest.listEnd, .checksum = digest.listChecksum},
                              peer.receivedAt + digest.interval, now);
}

void EndpointExchange::checkForMissedChanges(Instant now)
{
    if (isReader()) {
        m_comparison.clear();
        return;
    }
    const Duration delay =
            std::min(rankDelay * m_mesh.rankInZone(m_context.zone, now), maxRankDelay);
    const auto difference = m_comparison.takeLasting(now, delay);
    if (!difference)
        return;
    ++m_missedChanges;
    m_context.log.write(LogLevel::Warning, "endpoint-list-differs", {},
                        {{"reader", difference->reader},
                         {"for_ms", toMs(now - difference->since)},
                         {"list_end", toLog(difference->report.listEnd)},
                         {"own_list_end", toLog(m_context.endpoints.readEnd())}});
    m_feed.shareNextRead();
    m_follower.refresh();
}

void EndpointExchange::fillDigest(Digest &digest, Instant now) const
{
    // An instance without live peers can't know whether its bulletins arrive, so the others must
    // not rely on it as a reader.
    digest.isReader = isReader() && m_mesh.isConnected(now);
    digest.endpointsAge = now - m_context.endpointsAsOf;
    if (digest.isReader) {
        digest.listEnd = m_context.endpoints.readEnd();
        digest.listChecksum = m_context.endpoints.listChecksum();
    }
}

} // namespace monsoonsail
