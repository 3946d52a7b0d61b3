#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/mesh/bulletin.h"

#include <map>
#include <vector>

namespace monsoonsail {

/// Changes of endpoints that this instance has yet to send to the other entry instances. Each
/// change is sent a few times, since datagrams get lost.
class EndpointUpdateQueue
{
public:
    /// `endpoints` must outlive the queue.
    explicit EndpointUpdateQueue(const EndpointRegistry &endpoints)
        : m_endpoints(endpoints)
    { }

    /// Queues the present state of the endpoint.
    void add(const EndpointId &endpoint) { m_pending[endpoint] = {.sendsLeft = sendsPerUpdate}; }
    /// Returns the updates to send now, each with the newest state of its endpoint. If there are
    /// more than fit into a bulletin, those of ready endpoints wait.
    std::vector<EndpointUpdate> takeDue(Instant now);

private:
    /// Number of times that each change is sent; the interval is in the source.
    static constexpr unsigned sendsPerUpdate = 3;

    struct PendingUpdate
    {
        unsigned sendsLeft = 0;
        Instant nextSendAt;
    };

    void appendDue(bool isReady, bool isRepeat, Instant now, std::vector<EndpointUpdate> &updates);

    const EndpointRegistry &m_endpoints;
    std::map<EndpointId, PendingUpdate> m_pending;
};

} // namespace monsoonsail
