#include "tests/servers/process_gate.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace monsoonsail {

namespace {
/// Small datagrams that fit into the default receive buffer of Linux (208 KB).
constexpr std::size_t maxHeldDatagrams = 256;
/// Datagrams that the event loop reads before it runs its timers, see MeshSocket.
constexpr std::size_t datagramsPerWakeup = 64;
} // namespace

void ProcessGate::passTimer(const Task &task)
{
    pass(task, m_timers);
}

void ProcessGate::passAnswer(const Task &task)
{
    pass(task, m_answers);
}

void ProcessGate::passDatagram(const Task &task)
{
    if (m_isFrozen && m_datagrams.size() >= maxHeldDatagrams)
        return;
    pass(task, m_datagrams);
}

void ProcessGate::pass(const Task &task, std::vector<Task> &held)
{
    if (m_hasEnded)
        return;
    if (m_isFrozen)
        held.push_back(task);
    else
        task();
}

// The event loop reads its sockets before it runs the timers that are due.
void ProcessGate::resume()
{
    m_isFrozen = false;
    std::vector<Task> later = std::exchange(m_datagrams, {});
    const std::size_t count = std::min(later.size(), datagramsPerWakeup);
    const auto middle = later.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<Task> first(later.begin(), middle);
    later.erase(later.begin(), middle);
    run(std::exchange(m_answers, {}));
    run(first);
    run(std::exchange(m_timers, {}));
    run(later);
}

void ProcessGate::end()
{
    m_hasEnded = true;
    m_timers.clear();
    m_answers.clear();
    m_datagrams.clear();
}

void ProcessGate::run(const std::vector<Task> &tasks) const
{
    for (const Task &task : tasks)
        task();
}

} // namespace monsoonsail
