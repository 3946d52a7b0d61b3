#pragma once

#include <chrono>
#include <cstdint>

namespace monsoonsail {

using Duration = std::chrono::microseconds;

/// Clock type of all instants, with the members that the C++ standard requires of a clock. There is
/// no now(), since the core never reads a clock: its callers pass the time in.
struct Timeline
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Timeline, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// A point in time with a resolution of microseconds. Deadlines are stored as instants.
using Instant = Timeline::time_point;

constexpr Instant instantFromMicroseconds(std::int64_t microseconds)
{
    return Instant(Duration(microseconds));
}

constexpr std::int64_t toMicroseconds(Instant instant)
{
    return instant.time_since_epoch().count();
}

constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

constexpr double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

constexpr Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace monsoonsail
