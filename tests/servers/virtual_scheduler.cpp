#include "tests/servers/virtual_scheduler.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

void VirtualScheduler::at(Instant at, std::function<void()> task)
{
    m_heap.push_back(
            {.at = std::max(at, m_now), .number = ++m_lastNumber, .task = std::move(task)});
    std::ranges::push_heap(m_heap, isLater);
}

void VirtualScheduler::runUntil(Instant end)
{
    while (!m_heap.empty() && m_heap.front().at <= end) {
        std::ranges::pop_heap(m_heap, isLater);
        const Entry entry = std::move(m_heap.back());
        m_heap.pop_back();
        m_now = entry.at;
        entry.task();
    }
    m_now = end;
}

bool VirtualScheduler::isLater(const Entry &left, const Entry &right)
{
    return left.at != right.at ? left.at > right.at : left.number > right.number;
}

} // namespace monsoonsail
