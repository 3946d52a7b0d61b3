#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/mesh/bulletin.h"

#include <map>
#include <vector>

namespace monsoonsail {

/// Which changes of endpoints this instance still has to tell the others. Each is told a few times,
/// since datagrams get lost.
class EndpointUpdateQueue
{
public:
    /// `endpoints` must outlive the desk.
    explicit EndpointUpdateQueue(const EndpointRegistry &endpoints)
        : m_endpoints(endpoints)
    { }

    /// The endpoint has changed.
    void add(const EndpointId &endpoint) { m_pending[endpoint] = {.sendsLeft = sendsPerUpdate}; }
    /// Returns what is to be told now, at its newest. Of many changes some come later, those of
    /// endpoints that stay.
    std::vector<EndpointUpdate> takeDue(Instant now);

private:
    /// See the source for the time between them.
    static constexpr unsigned sendsPerUpdate = 3;

    struct PendingUpdate
    {
        unsigned sendsLeft = 0;
        Instant nextSendAt;
    };

    void appendDue(bool isReady, Instant now, std::vector<EndpointUpdate> &updates);

    const EndpointRegistry &m_endpoints;
    std::map<EndpointId, PendingUpdate> m_pending;
};

} // namespace monsoonsail
