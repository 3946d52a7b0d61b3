#pragma once

#include "core/instant.h"

#include <chrono>
#include <optional>

namespace monsoonsail {

/// Notices that the process has not run for a while: it was frozen, or got no processor.
class ProcessPauseDetector
{
public:
    /// Beyond this, news may be older than the platform allows once the next digests have come.
    static constexpr Duration minPause = std::chrono::seconds(1);

    /// Called often. Returns whether the process has slept since the last call.
    bool detectPause(Instant now)
    {
        const bool isPaused = m_lastCallAt && now - *m_lastCallAt > minPause;
        m_lastCallAt = now;
        return isPaused;
    }

private:
    std::optional<Instant> m_lastCallAt;
};

} // namespace monsoonsail
