#include "drivers/time/system_clock.h"

#include <ctime>

namespace monsoonsail {

namespace {

Duration timeSinceBoot()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec)
            + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

SystemClock::SystemClock()
    : m_timeSinceBootAtStart(timeSinceBoot())
    , m_startTime(std::chrono::duration_cast<Duration>(
              std::chrono::system_clock::now().time_since_epoch()))
{ }

Instant SystemClock::now() const
{
    return m_startTime + (timeSinceBoot() - m_timeSinceBootAtStart);
}

} // namespace monsoonsail
