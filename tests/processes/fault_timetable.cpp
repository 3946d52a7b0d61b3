#include "tests/processes/fault_timetable.h"

#include <thread>

namespace monsoonsail {

void FaultTimetable::run(std::chrono::steady_clock::time_point start)
{
    for (const auto &[at, step] : m_steps) {
        std::this_thread::sleep_until(start + at);
        step();
    }
    m_steps.clear();
}

} // namespace monsoonsail
