#include "drivers/loop/timer_queue.h"

#include <utility>

namespace monsoonsail {

TimerQueue::Handle TimerQueue::schedule(Instant at, std::function<void()> task)
{
    const Handle handle{.at = at, .number = ++m_lastNumber};
    m_tasks.emplace(handle, std::move(task));
    return handle;
}

void TimerQueue::cancel(Handle &handle)
{
    m_tasks.erase(handle);
    handle = {};
}

void TimerQueue::runDue(Instant now)
{
    while (!m_tasks.empty() && m_tasks.begin()->first.at <= now) {
        // Removed before it runs, since the task may schedule and cancel other tasks.
        const auto node = m_tasks.extract(m_tasks.begin());
        node.mapped()();
    }
}

std::optional<Instant> TimerQueue::nextDeadline() const
{
    if (m_tasks.empty())
        return std::nullopt;
    return m_tasks.begin()->first.at;
}

} // namespace monsoonsail
