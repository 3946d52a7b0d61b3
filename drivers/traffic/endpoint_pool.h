#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "drivers/loop/event_loop.h"
#include "drivers/traffic/endpoint_connection.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Whether a request may use a connection that has carried a check of the incarnation. The response
/// to that has no id, so a repeat of it could be taken for another response without one.
enum class CheckedConnections {
    Allowed,
    Excluded
};

/// Opens connections to endpoints and keeps the idle ones for reuse.
class EndpointPool
{
public:
    explicit EndpointPool(EventLoop &loop)
        : m_loop(loop)
    { }

    /// Removes and returns an idle connection that was used at or after `usedSince` and is not one
    /// of `excluded`, or nullptr. The most recently used one is taken, so that surplus connections
    /// reach their idle timeout.
    std::shared_ptr<EndpointConnection>
    takeIdle(const EndpointId &endpoint, Instant usedSince,
             std::span<const std::weak_ptr<const EndpointConnection>> excluded,
             CheckedConnections checked = CheckedConnections::Allowed);
    /// Opens a new connection. Returns nullptr and sets `error` if that fails immediately.
    std::shared_ptr<EndpointConnection> connect(const EndpointId &endpoint,
                                                std::string_view address, std::error_code &error);
    /// Adds a connection that may carry another request.
    void addIdle(std::shared_ptr<EndpointConnection> connection);
    void closeIdle(const EndpointId &endpoint) { m_idle.erase(endpoint); }
    /// Removes connections that are closed or whose idle timeout has passed.
    void closeExpired(Instant now);

    /// Returns the number of calls of connect(), including those that failed.
    std::size_t openedConnections() const { return m_openedConnections; }

private:
    EventLoop &m_loop;
    std::unordered_map<EndpointId, std::vector<std::shared_ptr<EndpointConnection>>> m_idle;
    std::size_t m_openedConnections = 0;
};

} // namespace monsoonsail
