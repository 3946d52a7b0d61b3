#include "servers/site/configuration_feed.h"

#include "core/log_position.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
/// Time after the first read by which the digests of the live peers have arrived.
constexpr Duration peerDiscoveryTime = std::chrono::seconds(2);
/// Time between two reads of the store for a configuration that peers announce and it lacks.
constexpr Duration searchInterval = std::chrono::seconds(5);
} // namespace

void ConfigurationFeed::onValueChanged(const LogRecord &record, Instant now)
{
    if (record.key != m_codec.configurationKey())
        return;
    if (const Revision revision = applyIfNewer(record, "store", now)) {
        m_storedRevision = revision;
        m_storedPosition = record.offset;
    }
}

void ConfigurationFeed::onCaughtUp(LogOffset end, Instant asOf, Instant now)
{
    m_storeEnd = end;
    const StoreEra era = LogPosition::of(end).era;
    if (m_laterHeardAt && *m_laterHeardAt < asOf)
        handleMissing(era, now);
    if (!m_context.isConfigurationReplaced)
        m_context.configurationAsOf = asOf;
    // A copy that lacks the configuration in force may lack a later one as well, until what is
    // missing has been written again.
    m_context.isStoreBehind = !isInStore(end);
    // A store of era 0 has never lost a configuration.
    if (!std::exchange(m_hasRead, true) && era > 0) {
        m_context.configurationCertainFrom = now + peerDiscoveryTime;
        m_context.configurationCheckedFrom = now + peerDiscoveryTime;
    }
}

void ConfigurationFeed::onKeptApplied()
{
    m_context.configurationCheckedFrom = Instant::min();
    m_context.isStoreBehind = m_hasRead && !isInStore(m_storeEnd);
}

void ConfigurationFeed::recordAnnouncement(const Peer &peer, Instant now)
{
    if (peer.digest.revision > m_context.announcedRevision)
        setAnnouncedRevision(peer.digest.revision, peer.digest.instance, now);
}

void ConfigurationFeed::updateFromPeers(const Mesh &mesh, bool isReader, Instant now)
{
    Revision announced = 0;
    std::string_view announcer;
    for (const auto &[name, peer] : mesh.peers()) {
        if (!Mesh::isLive(peer, now))
            continue;
        if (peer.digest.revision > announced) {
            announced = peer.digest.revision;
            announcer = name;
        }
        if (!isReader && peer.digest.isReader && !peer.digest.isStoreBehind
            && peer.digest.revision == ownRevision()) {
            m_context.isStoreBehind = false;
            m_context.configurationAsOf = std::max(m_context.configurationAsOf,
                                                   peer.receivedAt - peer.digest.configurationAge);
        }
    }
    setAnnouncedRevision(announced, announcer, now);
}

bool ConfigurationFeed::needsRead(Instant now) const
{
    return m_laterHeardAt && (m_heardRevision > m_missingRevision || m_nextSearchAt <= now);
}

void ConfigurationFeed::setAnnouncedRevision(Revision announced, std::string_view peer, Instant now)
{
    m_context.announcedRevision = announced;
    if (announced <= ownRevision()) {
        m_laterHeardAt.reset();
        m_context.configurationBehindSince.reset();
        m_context.isConfigurationReplaced = false;
    } else if (!m_laterHeardAt || announced > m_heardRevision) {
        m_laterHeardAt = now;
        m_heardRevision = announced;
        if (!m_context.configurationBehindSince)
            m_context.configurationBehindSince = now;
        m_context.log.write(LogLevel::Info, "configuration-announced", {},
                            {{"revision", toLog(announced)},
                             {"own_revision", toLog(ownRevision())},
                             {"peer", peer},
                             {"configuration_age_ms", toMs(now - m_context.configurationAsOf)}});
    }
}

void ConfigurationFeed::handleMissing(StoreEra era, Instant now)
{
    m_missingRevision = m_heardRevision;
    m_nextSearchAt = now + searchInterval;
    // A store of era 0 has never lost a configuration.
    if (era == 0 || std::exchange(m_context.isConfigurationReplaced, true))
        return;
    m_context.log.write(LogLevel::Warning, "configuration-replaced", {},
                        {{"revision", static_cast<std::int64_t>(ownRevision())},
                         {"announced", static_cast<std::int64_t>(m_heardRevision)}});
}

Revision ConfigurationFeed::ownRevision() const
{
    return m_context.configuration ? m_context.configuration->revision() : 0;
}

bool ConfigurationFeed::isInStore(LogOffset end) const
{
    if (!m_context.configuration)
        return true;
    return m_storedRevision >= m_context.configuration->revision()
            && LogPosition::of(m_storedPosition).era == LogPosition::of(end).era;
}

Revision ConfigurationFeed::applyIfNewer(const LogRecord &record, std::string_view source,
                                         Instant now)
{
    std::string fault;
    auto configuration = m_codec.parseConfiguration(record.value, fault);
    if (!configuration) {
        m_context.log.write(LogLevel::Warning, "configuration-unreadable", {},
                            {{"offset", static_cast<std::int64_t>(record.offset)},
                             {"reason", fault},
                             {"source", source}});
        return 0;
    }
    const Revision revision = configuration->revision();
    if (m_context.configuration && m_context.configuration->revision() >= configuration->revision())
        return revision;
    const Duration behindFor = m_context.configurationBehindFor(now);
    m_context.log.write(LogLevel::Info, "configuration-in-force", {},
                        {{"revision", static_cast<std::int64_t>(configuration->revision())},
                         {"previous_revision", toLog(ownRevision())},
                         {"routes", static_cast<std::int64_t>(configuration->routes().size())},
                         {"accounts", static_cast<std::int64_t>(configuration->accounts().size())},
                         {"source", source},
                         {"behind_ms", toMs(behindFor)},
                         {"configuration_age_ms", toMs(now - m_context.configurationAsOf)}});
    m_context.metrics.recordConfiguration(source, behindFor);
    m_context.configuration = std::move(configuration);
    m_text = record.value;
    m_context.allowances.configure(m_context.configuration->accounts(), now);
    m_context.traffic.applyLimits(m_context.configuration->limits());
    const bool isNews = m_context.announcedRevision < revision;
    if (m_context.announcedRevision <= revision)
        setAnnouncedRevision(m_context.announcedRevision, {}, now);
    if (isNews && m_newsHandler)
        m_newsHandler();
    return revision;
}

} // namespace monsoonsail
