#include "servers/site/configuration_fetcher.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
/// A read of a working store has ended by then.
constexpr Duration storeReadTime = std::chrono::milliseconds(250);
constexpr Duration answerTimeout = std::chrono::milliseconds(400);
/// Delays after failures. They grow, so that peers that can't be reached cost little.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(500);
} // namespace

ConfigurationFetcher::ConfigurationFetcher(std::string instance, ServingContext &context,
                                           ConfigurationFeed &feed, ConfigurationPort &port,
                                           std::function<Instant()> now)
    : m_instance(std::move(instance))
    , m_context(context)
    , m_feed(feed)
    , m_port(port)
    , m_now(std::move(now))
{ }

void ConfigurationFetcher::advance(const Mesh &mesh)
{
    const Instant now = m_now();
    if (m_isCallPending || now < m_nextCallAt
        || m_context.configurationBehindFor(now) < storeReadTime)
        return;
    const Peer *peer = choosePeer(mesh);
    if (peer == nullptr)
        return;
    m_isCallPending = true;
    m_port.fetch(
            peer->digest.address, now + answerTimeout,
            [this, name = peer->digest.instance](std::error_code error, std::string_view text) {
                handleAnswer(name, error, text);
            });
}

// The order by hash differs between instances, so that they don't all ask the same one.
const Peer *ConfigurationFetcher::choosePeer(const Mesh &mesh) const
{
    const Instant now = m_now();
    const Revision own = m_context.configuration ? m_context.configuration->revision() : 0;
    const std::uint64_t seed = stableHash(m_instance, m_failures);
    const Peer *chosen = nullptr;
    std::pair<bool, std::uint64_t> lowest;
    for (const auto &[name, peer] : mesh.peers()) {
        if (!Mesh::isLive(peer, now) || peer.digest.revision <= own)
            continue;
        // A zone may be cut off, so every other attempt leaves it.
        const bool isFar = m_failures % 2 == 0 && peer.digest.zone != m_context.zone;
        const std::pair rank(isFar, stableHash(name, seed));
        if (chosen == nullptr || rank < lowest) {
            chosen = &peer;
            lowest = rank;
        }
    }
    return chosen;
}

void ConfigurationFetcher::handleAnswer(const std::string &peer, std::error_code error,
                                        std::string_view text)
{
    m_isCallPending = false;
    const Instant now = m_now();
    const auto before = m_context.configuration;
    if (!error) {
        m_feed.applyIfNewer({.key = peer, .value = std::string(text)}, "peer", now);
        // The store may have given it meanwhile.
        if (m_context.configuration != before || !m_context.configurationBehindSince) {
            m_failures = 0;
            return;
        }
    }
    ++m_failures;
    m_nextCallAt = now + std::min(initialRetryDelay * m_failures, maxRetryDelay);
    m_context.log.write(LogLevel::Warning, "configuration-fetch-failed", {},
                        {{"peer", peer},
                         {"error", error ? error.message() : "no later configuration"},
                         {"failures", static_cast<std::int64_t>(m_failures)},
                         {"behind_ms", toMs(m_context.configurationBehindFor(now))}});
}

} // namespace monsoonsail
