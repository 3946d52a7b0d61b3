#pragma once

#include "core/instant.h"

#include <chrono>
#include <optional>

namespace monsoonsail {

/// Notices that the process has not run for a while: it was frozen, or got no processor.
class SleepWatch
{
public:
    /// Beyond this, news may be older than the platform allows once the next digests have come.
    static constexpr Duration longSleep = std::chrono::seconds(1);

    /// Called often. Returns whether the process has slept since the last call.
    bool hasSlept(Instant now)
    {
        const bool slept = m_lastSeen && now - *m_lastSeen > longSleep;
        m_lastSeen = now;
        return slept;
    }

private:
    std::optional<Instant> m_lastSeen;
};

} // namespace monsoonsail
