#pragma once

#include "servers/endpoints/endpoint_feed.h"
#include "servers/endpoints/list_comparison.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/bulletin_port.h"
#include "servers/ports/record_log.h"
#include "servers/serving/serving_context.h"
#include "servers/store/reader_role.h"
#include "servers/store/topic_follower.h"

#include <cstdint>
#include <string>

namespace monsoonsail {

/// Keeps the endpoints up to date together with the other entry instances: a few of them read the
/// store's list and send its changes to all others in bulletins.
class EndpointExchange
{
public:
    /// Instances that are not readers of the store check it for missed changes at this interval,
    /// see Mesh::scaledInterval().
    static constexpr Duration passiveInterval = std::chrono::seconds(10);

    /// `instance` is the name of this instance. All references must outlive the exchange.
    EndpointExchange(const std::string &instance, ServingContext &context, const SiteCodec &codec,
                     RecordLog &log, const Mesh &mesh, BulletinPort &bulletins,
                     TopicFollower::Scheduler scheduler);

    void start();
    /// Must be called when the limits of the context have changed.
    void applyLimits();
    /// Decides whether this instance is a reader and sends the updates that are due. Call
    /// periodically.
    void advance(Instant now);
    /// Reads the whole list as soon as the calls in progress permit.
    void refresh() { m_follower.refresh(); }
    /// Sends the other instances the state of an endpoint that has announced its end to this one.
    void publish(const EndpointId &endpoint, Instant now);
    void handleBulletin(const Bulletin &bulletin, Instant now);
    /// Handles the fields of a peer's newest digest that concern the list.
    void handleDigest(const Peer &peer, Instant now);
    /// Sets the fields of a digest that concern the list.
    void fillDigest(Digest &digest, Instant now) const;

    /// Returns how often the known endpoints differed from those of a reader for long.
    std::uint64_t missedChanges() const { return m_missedChanges; }
    /// Whether this instance has read the list once.
    bool hasReadList() const { return m_feed.hasRead(); }
    /// Whether this instance reads the store for the others.
    bool isReader() const { return m_follower.isActive(); }

private:
    void updateReaderRole(Instant now);
    void updateAge(Instant now);
    void checkForMissedChanges(Instant now);
    void sendBulletin(Instant now);
    /// Removes the changes that two other readers tell. Returns whether the others have to wait for
    /// the reports of these readers.
    bool leaveToPrecedingReaders(Instant now);
    /// Sends updates to the whole mesh, or only to the own availability zone.
    void sendUpdates(std::vector<EndpointUpdate> updates, bool isForZone, Instant now);

    const std::string m_instance;
    ServingContext &m_context;
    const Mesh &m_mesh;
    BulletinPort &m_bulletins;
    const TopicFollower::Scheduler m_scheduler;
    EndpointFeed m_feed;
    TopicFollower m_follower;
    ReaderRole m_readerRole;
    ListComparison m_comparison;
    Instant m_bulletinSentAt;
    std::uint64_t m_bulletinRound = 0;
    std::uint64_t m_missedChanges = 0;
};

} // namespace monsoonsail
