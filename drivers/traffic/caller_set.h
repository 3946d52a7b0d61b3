#pragma once

#include "core/instant.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"
#include "drivers/traffic/caller_connection.h"
#include "drivers/traffic/caller_faults.h"
#include "drivers/traffic/caller_limits.h"
#include "drivers/traffic/request_memory.h"

#include <cstddef>
#include <memory>
#include <unordered_set>
#include <vector>

namespace monsoonsail {

/// All connections of a listener. Keeps them within common bounds against callers that send without
/// end, stop short of the end, never read, or only connect: those that hold most without having
/// sent a whole request are refused first, and those that have waited longest for one are closed
/// first. A request that is whole or running is never given up.
class CallerSet
{
public:
    /// All references must outlive the set.
    CallerSet(EventLoop &loop, CallerConnectionOwner &owner, const CallerLimits &limits,
              CallerFaults &faults);
    ~CallerSet();
    CallerSet(const CallerSet &) = delete;
    CallerSet &operator=(const CallerSet &) = delete;

    void accept(Socket socket);
    /// Closes the connection that has waited longest for a whole request. Returns false if all are
    /// being answered.
    bool closeLongestWaiting(CallerFault fault);
    /// Removes a connection that has been closed.
    void remove(CallerConnection &connection);
    void checkTimeouts(Instant now);

    /// Replaces the count of request bytes of one caller, and refuses callers if all together hold
    /// too much.
    void updateRequestBytes(std::size_t before, std::size_t after);
    /// Replaces the count of unread bytes of one caller. Callers are closed for them later.
    void updateUnreadBytes(std::size_t before, std::size_t after);

    RequestMemory &requestMemory() { return m_requestMemory; }
    const CallerLimits &limits() const { return m_limits; }
    CallerFaults &faults() { return m_faults; }
    bool isEmpty() const { return m_connections.empty(); }
    /// Returns a copy, as a connection may be removed while it is used.
    std::vector<std::shared_ptr<CallerConnection>> all() const;

private:
    void refuseLargest();
    void closeSlowReaders();

    EventLoop &m_loop;
    CallerConnectionOwner &m_owner;
    const CallerLimits m_limits;
    CallerFaults &m_faults;
    RequestMemory m_requestMemory;
    std::size_t m_unreadBytes = 0;
    /// Set while a check of the unread bytes is due.
    TimerQueue::Handle m_unreadTimer;
    std::unordered_set<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace monsoonsail
