#include "servers/endpoints/endpoint_update_queue.h"

#include "servers/endpoints/endpoint_update.h"

namespace monsoonsail {

namespace {
/// From one telling of a change to the next: what delays or drops a datagram often hits those that
/// follow at once as well.
constexpr Duration repeatInterval = std::chrono::milliseconds(350);
/// Changes in one bulletin: about 5 KB, which an instance passes on to twenty others ten times a
/// second without filling a narrow link.
constexpr std::size_t maxUpdatesPerBulletin = 60;
} // namespace

std::vector<EndpointUpdate> EndpointUpdateQueue::takeDue(Instant now)
{
    std::vector<EndpointUpdate> updates;
    // Requests that reach an endpoint that has left are lost; a new one only stays idle.
    appendDue(false, now, updates);
    appendDue(true, now, updates);
    std::erase_if(m_pending, [](const auto &entry) { return entry.second.sendsLeft == 0; });
    return updates;
}

void EndpointUpdateQueue::appendDue(bool isReady, Instant now, std::vector<EndpointUpdate> &updates)
{
    for (auto &[id, pending] : m_pending) {
        if (updates.size() == maxUpdatesPerBulletin)
            return;
        const Endpoint *endpoint = m_endpoints.find(id);
        if (endpoint == nullptr) {
            pending.sendsLeft = 0;
            continue;
        }
        if (pending.sendsLeft == 0 || pending.nextSendAt > now
            || (endpoint->state == EndpointState::Ready) != isReady)
            continue;
        --pending.sendsLeft;
        pending.nextSendAt = now + repeatInterval;
        updates.push_back(makeEndpointUpdate(*endpoint));
    }
}

} // namespace monsoonsail
