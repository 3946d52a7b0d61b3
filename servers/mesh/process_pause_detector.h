#pragma once

#include "core/instant.h"

#include <chrono>
#include <optional>

namespace monsoonsail {

/// Detects that the process has not run for a while, because it was frozen or got no CPU time.
class ProcessPauseDetector
{
public:
    /// After a longer pause, what is known of endpoints may be older than the platform allows by
    /// the time that the next digests arrive.
    static constexpr Duration minPause = std::chrono::seconds(1);

    /// Returns whether the process was paused since the last call. Call it regularly.
    bool detectPause(Instant now)
    {
        const bool wasPaused = m_lastCallAt && now - *m_lastCallAt > minPause;
        m_lastCallAt = now;
        return wasPaused;
    }

private:
    std::optional<Instant> m_lastCallAt;
};

} // namespace monsoonsail
