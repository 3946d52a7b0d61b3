#include "servers/endpoints/endpoint_update_queue.h"

#include "core/log_position.h"
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

void EndpointUpdateQueue::add(const EndpointId &endpoint)
{
    m_pending[endpoint] = {.sendsLeft = sendsPerUpdate};
}

void EndpointUpdateQueue::addListed(const EndpointId &endpoint, LogOffset offset)
{
    const auto [entry, isNew] = m_pending.try_emplace(endpoint);
    PendingUpdate &pending = entry->second;
    const bool isKnownToReaders = isNew || pending.listOffset;
    pending = {.sendsLeft = sendsPerUpdate};
    if (isKnownToReaders)
        pending.listOffset = offset;
}

void EndpointUpdateQueue::removeListed(LogOffset end)
{
    // A copy that the store came back from may lack a change of an earlier era.
    std::erase_if(m_pending, [end](const auto &entry) {
        const std::optional<LogOffset> &offset = entry.second.listOffset;
        return offset && *offset < end && LogPosition::of(*offset).era == LogPosition::of(end).era;
    });
}

std::vector<EndpointUpdate> EndpointUpdateQueue::takeDue(Instant now, bool holdsListed)
{
    std::vector<EndpointUpdate> updates;
    // Endpoints that are not ready come first: requests sent to an endpoint that has ended are
    // lost, whereas a new endpoint only stays idle for longer.
    // Changes that nobody has been told of come before repeats.
    for (const bool isRepeat : {false, true}) {
        for (const bool isReady : {false, true}) {
            const Turn turn{.isReady = isReady, .isRepeat = isRepeat, .holdsListed = holdsListed};
            appendDue(turn, now, updates);
        }
    }
    std::erase_if(m_pending, [](const auto &entry) { return entry.second.sendsLeft == 0; });
    return updates;
}

void EndpointUpdateQueue::appendDue(const Turn &turn, Instant now,
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
        const bool isHeld = turn.holdsListed && pending.listOffset;
        const bool isRepeat = pending.sendsLeft < sendsPerUpdate;
        const bool isReady = endpoint->state == EndpointState::Ready;
        if (isHeld || pending.sendsLeft == 0 || pending.nextSendAt > now
            || isRepeat != turn.isRepeat || isReady != turn.isReady)
            continue;
        --pending.sendsLeft;
        pending.nextSendAt = now + repeatInterval;
        updates.push_back(makeEndpointUpdate(*endpoint, now));
    }
}

} // namespace monsoonsail
