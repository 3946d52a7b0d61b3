#pragma once

#include "drivers/time/clock.h"

#include <chrono>

namespace monsoonsail {

/// Starts at the wall-clock time and then advances with CLOCK_BOOTTIME. It therefore never goes
/// back, ignores adjustments of the wall clock, and includes the time in which the machine is
/// suspended.
class SystemClock : public Clock
{
public:
    SystemClock();

    Instant now() const override;

private:
    const Duration m_timeSinceBootAtStart;
    const Instant m_startTime;
};

} // namespace monsoonsail
