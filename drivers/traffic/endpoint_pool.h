#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "drivers/loop/event_loop.h"
#include "drivers/traffic/endpoint_connection.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// The connections to endpoints that wait for their next request.
class EndpointPool
{
public:
    explicit EndpointPool(EventLoop &loop)
        : m_loop(loop)
    { }

    /// Returns a kept connection that was in use after `usedSince`, or nullptr. The one used last
    /// comes first, so that the others time out.
    std::shared_ptr<EndpointConnection> takeIdle(const EndpointId &endpoint, Instant usedSince);
    /// Starts a new connection. Returns nullptr, with the error, if it fails at once.
    std::shared_ptr<EndpointConnection> connect(const EndpointId &endpoint,
                                                std::string_view address, std::error_code &error);
    /// Keeps a quiet connection for later requests.
    void addIdle(std::shared_ptr<EndpointConnection> connection);
    void closeIdle(const EndpointId &endpoint) { m_idle.erase(endpoint); }
    /// Drops connections that are closed or have been idle for too long.
    void closeExpired(Instant now);

    /// Returns how many connections were opened since the start.
    std::size_t openedConnections() const { return m_openedConnections; }

private:
    EventLoop &m_loop;
    std::unordered_map<EndpointId, std::vector<std::shared_ptr<EndpointConnection>>> m_idle;
    std::size_t m_openedConnections = 0;
};

} // namespace monsoonsail
