#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <utility>

namespace monsoonsail {

/// Steps of a test that are taken at set times, one after the other.
class FaultTimetable
{
public:
    /// Adds a step at this time after the start.
    void add(std::chrono::milliseconds at, std::function<void()> step)
    {
        m_steps.emplace(at, std::move(step));
    }
    /// Takes all steps on this thread. Returns when the last one has been taken.
    void run(std::chrono::steady_clock::time_point start);

private:
    std::multimap<std::chrono::milliseconds, std::function<void()>> m_steps;
};

} // namespace monsoonsail
