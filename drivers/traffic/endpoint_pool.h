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

    /// Returns a kept connection that was in use after `idleSince`, or nullptr. The one used last
    /// comes first, so that the others time out.
    std::shared_ptr<EndpointConnection> take(const EndpointId &endpoint, Instant idleSince);
    /// Starts a new connection. Returns nullptr, with the error, if it fails at once.
    std::shared_ptr<EndpointConnection> open(const EndpointId &endpoint, std::string_view address,
                                             std::error_code &error);
    /// Keeps a quiet connection for later requests.
    void keep(std::shared_ptr<EndpointConnection> connection);
    void forget(const EndpointId &endpoint) { m_idle.erase(endpoint); }
    /// Drops connections that are closed or have been idle for too long.
    void expire(Instant now);

    /// Returns how many connections were opened since the start.
    std::size_t opened() const { return m_opened; }

private:
    EventLoop &m_loop;
    std::unordered_map<EndpointId, std::vector<std::shared_ptr<EndpointConnection>>> m_idle;
    std::size_t m_opened = 0;
};

} // namespace monsoonsail
