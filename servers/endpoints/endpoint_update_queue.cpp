#include "servers/endpoints/endpoint_update_queue.h"

#include "servers/endpoints/endpoint_update.h"

namespace monsoonsail {

namespace {
/// Time between two sends of the same change. What delays or drops a datagram often affects those
/// sent immediately after it too.
constexpr Duration repeatInterval = std::chrono::milliseconds(350);
/// This number of updates takes about 5 KB, which an instance can relay to twenty others ten times
/// a second without saturating a narrow link.
constexpr std::size_t maxUpdatesPerBulletin = 60;
} // namespace

std::vector<EndpointUpdate> EndpointUpdateQueue::takeDue(Instant now)
{
    std::vector<EndpointUpdate> updates;
    // Endpoints that are not ready come first: requests sent to an endpoint that has ended are
    // lost, whereas a new endpoint only stays idle for longer.
    // Changes that nobody has been told of come before repeats.
    for (const bool isRepeat : {false, true}) {
        appendDue(false, isRepeat, now, updates);
        appendDue(true, isRepeat, now, updates);
    }
    std::erase_if(m_pending, [](const auto &entry) { return entry.second.sendsLeft == 0; });
    return updates;
}

void EndpointUpdateQueue::appendDue(bool isReady, bool isRepeat, Instant now,
                                    std::vector<EndpointUpdate> &updates)
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
            || (pending.sendsLeft < sendsPerUpdate) != isRepeat
            || (endpoint->state == EndpointState::Ready) != isReady)
            continue;
        --pending.sendsLeft;
        pending.nextSendAt = now + repeatInterval;
        updates.push_back(makeEndpointUpdate(*endpoint, now));
    }
}

} // namespace monsoonsail
