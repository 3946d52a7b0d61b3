#include "drivers/traffic/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

std::shared_ptr<EndpointConnection>
EndpointPool::takeIdle(const EndpointId &endpoint, Instant usedSince,
                       std::span<const std::weak_ptr<const EndpointConnection>> excluded,
                       CheckedConnections checked)
{
    const auto entry = m_idle.find(endpoint);
    if (entry == m_idle.end())
        return nullptr;
    auto &connections = entry->second;
    for (std::size_t next = connections.size(); next > 0; --next) {
        const auto position = connections.begin() + static_cast<std::ptrdiff_t>(next) - 1;
        if ((*position)->lastUsedAt < usedSince)
            return nullptr;
        const bool wasUsed = std::ranges::any_of(
                excluded, [&](const auto &entry) { return entry.lock() == *position; });
        const bool isUnsuited = checked == CheckedConnections::Excluded
                && (*position)->incarnationCheckStatus.has_value();
        if (wasUsed || isUnsuited)
            continue;
        std::shared_ptr<EndpointConnection> connection = std::move(*position);
        connections.erase(position);
        if (connection->isOpen() && connection->keepAliveUntil > m_loop.now()
            && !connection->isStale())
            return connection;
    }
    return nullptr;
}

std::shared_ptr<EndpointConnection>
EndpointPool::connect(const EndpointId &endpoint, std::string_view address, std::error_code &error)
{
    const auto connection = std::make_shared<EndpointConnection>(m_loop, endpoint);
    ++m_openedConnections;
    error = connection->connect(address);
    if (error)
        return nullptr;
    return connection;
}

void EndpointPool::addIdle(std::shared_ptr<EndpointConnection> connection)
{
    m_idle[connection->endpoint()].push_back(std::move(connection));
}

void EndpointPool::closeExpired(Instant now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const auto &connection) {
            return !connection->isOpen() || connection->keepAliveUntil <= now;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

} // namespace monsoonsail
