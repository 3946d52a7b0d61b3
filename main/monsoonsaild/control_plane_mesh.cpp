#include "main/monsoonsaild/control_plane.h"

#include <algorithm>
#include <system_error>
#include <utility>

// The part of the control plane that exchanges messages with the other entry instances.

namespace monsoonsail {

namespace {
/// A peer repeats its suspicions in every digest. They end this long after its next one is due.
constexpr Duration suspicionMargin = std::chrono::milliseconds(450);
constexpr int statusNotFound = 404;
/// Of the requests at each of the addresses for metrics, readiness and peers.
constexpr std::size_t maxLocalRequestBytes = 1024UL * 1024;
/// Part of the process's memory for the answers at each of these addresses that are not read.
constexpr std::size_t localUnreadDivisor = 24;
/// Bounds of what the speeds of endpoints add to a digest, so that it grows by a tenth.
constexpr std::size_t minSharedSpeeds = 3;
constexpr std::size_t loadsPerSharedSpeed = 10;
} // namespace

CallerLimits ControlPlane::localLimits() const
{
    return {.maxConnections = m_settings.callers.maxLocalConnections,
            .maxRequestBytes = maxLocalRequestBytes,
            .maxUnreadBytes = m_settings.memoryBytes / localUnreadDivisor};
}

LocalServer::Response ControlPlane::answerPeer(const RequestHead &head) const
{
    if (head.target != ConfigurationClient::path || !m_context.configuration)
        return {.status = statusNotFound, .body = "not found\n"};
    return {.body = m_configurationFeed.text()};
}

// Without this server the instance still serves; only its peers can't ask it.
void ControlPlane::startPeerServer()
{
    try {
        m_peerServer.emplace(m_loop, m_settings.digestListen, localLimits(), m_callerFaults,
                             [this](const RequestHead &head, std::string_view /*body*/) {
                                 return answerPeer(head);
                             });
    } catch (const std::system_error &error) {
        m_decisionLog.write(LogLevel::Warning, "peer-server-failed", {},
                            {{"address", m_settings.digestListen}, {"error", error.what()}});
    }
}

Duration ControlPlane::digestInterval() const
{
    return m_mesh.digestInterval(m_endpointExchange.isReader());
}

void ControlPlane::updateEndpointLimits()
{
    // Silent peers keep their shares for a while, since they may only be cut off from this
    // instance.
    std::vector<std::string> peers;
    for (const auto &[name, peer] : m_mesh.peers())
        peers.push_back(name);
    m_context.endpointLimits.shares().update(m_settings.instance, peers, m_mesh.clockCorrection());
    m_context.endpointLimits.expire(m_loop.now());
}

void ControlPlane::sendDigest()
{
    m_loop.timers().cancel(m_digestTimer);
    m_digestTimer =
            m_loop.timers().schedule(m_loop.now() + digestInterval(), [this] { sendDigest(); });
    broadcastDigest();
}

void ControlPlane::broadcastDigest()
{
    const Instant now = m_loop.now();
    const bool isComplete = m_mesh.consumeCompleteDue();
    Digest digest{.instance = m_settings.instance,
                  .incarnation = m_incarnation,
                  .address = m_settings.digestListen,
                  .zone = m_context.zone,
                  .sentAt = now,
                  .interval = digestInterval(),
                  .revision = m_context.configuration ? m_context.configuration->revision() : 0,
                  .isStopping = m_isStopping,
                  .refusesNewRequests = m_context.refusesNewRequests,
                  .fencingNumber = m_dutyElection.announcedFencingNumber(),
                  .endpointLoads = m_context.enginePlacer->ownLoads(now),
                  .accountUses = m_context.allowances.collectDigestUses(isComplete),
                  .isComplete = isComplete,
                  .serviceWork = m_context.workMeter.ownWork(),
                  .configurationAge = now - m_context.configurationAsOf,
                  .peerAddresses =
                          isComplete ? m_mesh.nextPeerAddresses(now) : std::vector<std::string>()};
    for (const Digest::EndpointLoad &load : m_context.servicePlacer->ownLoads(now))
        digest.endpointLoads.push_back(load);
    // The runs of a silent endpoint have been restarted elsewhere, so it may not be among the
    // loads.
    for (const EndpointId &endpoint : m_context.endpointHealth.silentEndpoints(now)) {
        if (std::ranges::find(digest.endpointLoads, EndpointHash(endpoint),
                              &Digest::EndpointLoad::endpoint)
            == digest.endpointLoads.end())
            digest.endpointLoads.push_back({.endpoint = endpoint, .isSuspect = true});
    }
    const std::size_t maxSpeeds =
            minSharedSpeeds + digest.endpointLoads.size() / loadsPerSharedSpeed;
    digest.endpointSpeeds = m_context.servicePlacer->takeUnsentSpeeds(maxSpeeds / 2);
    for (const Digest::EndpointSpeed &speed :
         m_context.enginePlacer->takeUnsentSpeeds(maxSpeeds - digest.endpointSpeeds.size()))
        digest.endpointSpeeds.push_back(speed);
    std::vector<std::string> targets = m_mesh.targets(now);
    const std::vector<std::string> holders = m_mesh.dutyHolders(now);
    std::erase_if(targets, [&holders](const std::string &address) {
        return std::ranges::find(holders, address) != holders.end();
    });
    m_endpointExchange.fillDigest(digest, now);
    digest.isStoreBehind = digest.isReader && m_context.isStoreBehind;
    m_context.promptQuarantine.fillDigest(digest, now);
    m_context.endpointLimits.fillDigest(digest, now);
    digest.rollouts = m_context.rolloutTraffic.digestStates(isComplete, now);
    digest.versionEvidence = m_context.rolloutEvidence.nextDigestEvidence();
    digest.sequence = ++m_digestsSent;
    m_meshSocket.send(digest, targets);
    digest.usageCounts = m_context.usageMeter.recentOwnCounts();
    m_meshSocket.send(digest, holders);
}

void ControlPlane::handleDigest(Digest digest)
{
    const Instant now = m_loop.now();
    const std::uint64_t refusedBefore = m_mesh.refusedDigests();
    const Peer *peer = m_mesh.applyDigest(std::move(digest), now);
    if (m_mesh.refusedDigests() > refusedBefore)
        m_callerFaults.count(CallerFault::DigestMemory);
    if (peer == nullptr)
        return;
    m_context.allowances.applyPeerDigest(*peer, now);
    m_context.usageMeter.applyPeerDigest(*peer);
    m_context.workMeter.applyPeerDigest(*peer);
    m_context.enginePlacer->applyPeerDigest(*peer, now);
    m_context.servicePlacer->applyPeerDigest(*peer, now);
    m_context.promptQuarantine.applyPeerDigest(*peer);
    m_context.endpointLimits.applyPeerDigest(*peer);
    m_context.rolloutTraffic.applyPeerStates(peer->digest.rollouts, peer->clockOffset, now);
    m_context.rolloutEvidence.applyPeerEvidence(peer->digest.instance, peer->digest.incarnation,
                                                peer->digest.versionEvidence);
    m_endpointExchange.handleDigest(*peer, now);
    for (const Digest::EndpointLoad &load : peer->digest.endpointLoads) {
        if (load.isSuspect)
            m_context.endpointHealth.recordPeerSuspicion(
                    load.endpoint, now + peer->digest.interval + suspicionMargin);
    }
    m_configurationFeed.recordAnnouncement(*peer, now);
    if (m_configurationFeed.needsRead(now) && !m_configurationFollower.isActive())
        m_configurationFollower.refresh();
}

void ControlPlane::handleBulletin(const Bulletin &bulletin)
{
    m_endpointExchange.handleBulletin(bulletin, m_loop.now());
}

} // namespace monsoonsail
