#pragma once

#include <functional>
#include <vector>

namespace monsoonsail {

/// Lets the events of a simulated process through: at once while it runs, after the freeze while it
/// is frozen, never once it has ended.
class ProcessGate
{
public:
    using Task = std::function<void()>;

    void passTimer(const Task &task);
    void passAnswer(const Task &task);
    /// Beyond a limit, datagrams that arrive during a freeze are lost, as in a kernel's buffer.
    void passDatagram(const Task &task);

    void freeze() { m_isFrozen = true; }
    void resume();
    void end();
    bool isFrozen() const { return m_isFrozen; }

private:
    void pass(const Task &task, std::vector<Task> &held);
    void run(const std::vector<Task> &tasks) const;

    bool m_isFrozen = false;
    bool m_hasEnded = false;
    std::vector<Task> m_timers;
    std::vector<Task> m_answers;
    std::vector<Task> m_datagrams;
};

} // namespace monsoonsail
