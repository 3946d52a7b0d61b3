#include "drivers/traffic/caller_set.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

CallerSet::CallerSet(EventLoop &loop, CallerConnectionOwner &owner, const CallerLimits &limits,
                     CallerFaults &faults)
    : m_loop(loop)
    , m_owner(owner)
    , m_limits(limits)
    , m_faults(faults)
    , m_requestMemory(limits.maxRequestBytes,
                      limits.maxRequestBytes / std::max<std::size_t>(limits.maxConnections, 1))
{ }

CallerSet::~CallerSet()
{
    m_loop.timers().cancel(m_unreadTimer);
}

void CallerSet::accept(Socket socket)
{
    if (m_connections.size() >= m_limits.maxConnections
        && !closeLongestWaiting(CallerFault::TooManyConnections)) {
        // All others are being answered; nothing of this one has been read.
        m_faults.count(CallerFault::TooManyConnections);
        return;
    }
    m_connections.insert(std::make_shared<CallerConnection>(m_loop, std::move(socket), m_owner));
}

bool CallerSet::closeLongestWaiting(CallerFault fault)
{
    // Those that still read an answer come last.
    const auto rank = [](const CallerConnection &caller) {
        return std::pair(caller.unsentBytes() > 0, caller.waitingSince());
    };
    std::shared_ptr<CallerConnection> longest;
    for (const auto &connection : m_connections) {
        if (!connection->isResponding() && (!longest || rank(*connection) < rank(*longest)))
            longest = connection;
    }
    if (!longest)
        return false;
    m_faults.count(fault);
    // The descriptor is needed even if the refusal can't be sent at once.
    longest->refuse(ErrorKind::Overloaded);
    longest->close();
    return true;
}

void CallerSet::remove(CallerConnection &connection)
{
    m_connections.erase(connection.shared_from_this());
}

std::vector<std::shared_ptr<CallerConnection>> CallerSet::all() const
{
    return {m_connections.begin(), m_connections.end()};
}

void CallerSet::checkTimeouts(Instant now)
{
    for (const auto &connection : all())
        connection->checkTimeouts(now);
}

void CallerSet::updateRequestBytes(std::size_t before, std::size_t after)
{
    m_requestMemory.update(before, after);
    if (after > before && m_requestMemory.isExceeded())
        refuseLargest();
}

void CallerSet::refuseLargest()
{
    while (m_requestMemory.isExceeded()) {
        std::shared_ptr<CallerConnection> largest;
        for (const auto &connection : m_connections) {
            if (connection->isRefusable()
                && (!largest || connection->requestBytes() > largest->requestBytes()))
                largest = connection;
        }
        if (!largest || !m_requestMemory.mayRefuse(largest->requestBytes()))
            return;
        if (largest->isResponding()) {
            m_faults.count(CallerFault::InputDiscarded);
            largest->discardInput();
        } else {
            m_faults.count(CallerFault::RequestMemory);
            largest->refuse(ErrorKind::Overloaded);
        }
    }
}

// The caller may be writing for another one, which must not be closed meanwhile.
void CallerSet::updateUnreadBytes(std::size_t before, std::size_t after)
{
    m_unreadBytes += after - before;
    if (m_unreadBytes > m_limits.maxUnreadBytes && m_unreadTimer.number == 0)
        m_unreadTimer = m_loop.timers().schedule(m_loop.now(), [this] { closeSlowReaders(); });
}

void CallerSet::closeSlowReaders()
{
    m_unreadTimer = {};
    while (m_unreadBytes > m_limits.maxUnreadBytes && !m_connections.empty()) {
        const auto largest = *std::ranges::max_element(
                m_connections, {}, [](const auto &caller) { return caller->unsentBytes(); });
        m_faults.count(CallerFault::UnreadAnswers);
        largest->close();
    }
}

} // namespace monsoonsail
