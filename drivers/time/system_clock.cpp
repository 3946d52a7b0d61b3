#include "drivers/time/system_clock.h"

#include <ctime>

namespace monsoonsail {

namespace {

Duration sinceBoot()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec)
            + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

SystemClock::SystemClock()
    : m_bootTimeAtStart(sinceBoot())
    , m_start(std::chrono::duration_cast<Duration>(
              std::chrono::system_clock::now().time_since_epoch()))
{ }

Instant SystemClock::now() const
{
    return m_start + (sinceBoot() - m_bootTimeAtStart);
}

} // namespace monsoonsail
