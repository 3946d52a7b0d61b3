#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/mesh/bulletin.h"

#include <map>
#include <optional>
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

    /// Queues the present state of the endpoint, which only this instance may know.
    void add(const EndpointId &endpoint);
    /// Queues the present state of the endpoint, which all readers of the list up to `offset` know.
    void addListed(const EndpointId &endpoint, LogOffset offset);
    /// Removes the changes that all readers of the list up to `end` know.
    void removeListed(LogOffset end);
    /// Returns the updates to send now, each with the newest state of its endpoint. If there are
    /// more than fit into a bulletin, those of ready endpoints wait. So do changes that other
    /// readers of the list know as well if `holdsListed`.
    std::vector<EndpointUpdate> takeDue(Instant now, bool holdsListed = false);

private:
    /// Number of times that each change is sent; the interval is in the source.
    static constexpr unsigned sendsPerUpdate = 3;

    struct PendingUpdate
    {
        unsigned sendsLeft = 0;
        Instant nextSendAt;
        std::optional<LogOffset> listOffset; ///< Empty if only this instance may know the change.
    };
    /// Which updates to send in the same turn.
    struct Turn
    {
        bool isReady = false;
        bool isRepeat = false;
        bool holdsListed = false;
    };

    void appendDue(const Turn &turn, Instant now, std::vector<EndpointUpdate> &updates);

    const EndpointRegistry &m_endpoints;
    std::map<EndpointId, PendingUpdate> m_pending;
};

} // namespace monsoonsail
