#pragma once

#include "drivers/time/clock.h"

#include <chrono>

namespace monsoonsail {

/// Starts at the time of day and then follows the clock since the boot of the machine, so that it
/// never goes back, does not follow steps of the time of day, and counts a suspension.
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
