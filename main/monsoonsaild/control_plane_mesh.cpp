#include "main/monsoonsaild/control_plane.h"

#include "servers/endpoints/endpoint_news.h"

#include <algorithm>
#include <utility>

// The part of the control plane that talks with the other entry instances.

namespace monsoonsail {

namespace {
/// Between two bulletins, so that changes that come one after the other share them.
constexpr Duration newsInterval = std::chrono::milliseconds(40);
} // namespace

Duration ControlPlane::digestInterval() const
{
    return m_mesh.digestInterval(m_endpointFollower.isActive());
}

void ControlPlane::sendDigest()
{
    m_loop.timers().cancel(m_digestTimer);
    m_digestTimer =
            m_loop.timers().schedule(m_loop.now() + digestInterval(), [this] { sendDigest(); });
    sendDigestNow();
}

void ControlPlane::sendDigestNow()
{
    const Instant now = m_loop.now();
    const bool isComplete = m_mesh.takeCompleteDue();
    Digest digest{.instance = m_settings.instance,
                  .incarnation = m_incarnation,
                  .address = m_settings.digestListen,
                  .zone = m_context.zone,
                  .sentAt = now,
                  .interval = digestInterval(),
                  .revision = m_context.configuration ? m_context.configuration->revision() : 0,
                  .isStopping = m_stopping,
                  .refusesNew = m_context.refusesNew,
                  // One that hears nobody does not know whom its news reaches.
                  .isReader = m_endpointFollower.isActive() && m_mesh.hearsOthers(now),
                  .fencingNumber = m_keeper.announcedNumber(),
                  .loads = m_context.enginePlacer->ownLoads(now),
                  .uses = m_context.allowances.tellUses(isComplete),
                  .isComplete = isComplete,
                  .work = m_context.workMeter.ownWork(),
                  .configurationAge = now - m_context.configurationAsOf,
                  .endpointsAge = now - m_context.endpointsAsOf,
                  .neighbours = isComplete ? m_mesh.neighbours(now) : std::vector<std::string>()};
    for (const Digest::EndpointLoad &load : m_context.servicePlacer->ownLoads(now))
        digest.loads.push_back(load);
    std::vector<std::string> targets = m_mesh.targets(now);
    const std::vector<std::string> holders = m_mesh.dutyHolders(now);
    std::erase_if(targets, [&holders](const std::string &address) {
        return std::ranges::find(holders, address) != holders.end();
    });
    digest.sequence = ++m_digestsSent;
    m_socket.send(digest, targets);
    digest.counts = m_context.usageMeter.recent();
    m_socket.send(digest, holders);
}

void ControlPlane::sendNews()
{
    const Instant now = m_loop.now();
    if (now < m_newsSentAt + newsInterval)
        return;
    const Bulletin bulletin{.sentAt = now,
                            .isForZone = m_mesh.usesRelays(),
                            .news = m_endpointFeed.newsDesk().take(now)};
    if (bulletin.news.empty())
        return;
    m_newsSentAt = now;
    m_socket.send(bulletin, m_mesh.bulletinTargets(++m_newsRound, now));
}

void ControlPlane::received(Digest digest)
{
    const Instant now = m_loop.now();
    const Peer *peer = m_mesh.received(std::move(digest), now);
    if (peer == nullptr)
        return;
    m_context.allowances.peerReported(*peer, now);
    m_context.usageMeter.peerReported(*peer);
    m_context.workMeter.recordDigest(*peer);
    m_context.enginePlacer->recordDigest(*peer, now);
    m_context.servicePlacer->recordDigest(*peer, now);
    for (const Digest::EndpointLoad &load : peer->digest.loads) {
        if (load.isSuspect)
            m_context.endpointHealth.suspectedByPeer(load.endpoint, now);
    }
    const Revision own = m_context.configuration ? m_context.configuration->revision() : 0;
    if (peer->digest.revision > own && !m_configurationFollower.isActive())
        m_configurationFollower.refresh();
}

void ControlPlane::received(const Bulletin &bulletin)
{
    const Instant now = m_loop.now();
    if (bulletin.isForZone) {
        Bulletin copy = bulletin;
        copy.isForZone = false;
        m_socket.send(copy, m_mesh.livePeersIn(m_context.zone, now));
    }
    for (const EndpointNews &news : bulletin.news)
        applyNews(news, bulletin.sentAt - now, m_context.endpoints, now);
}

} // namespace monsoonsail
