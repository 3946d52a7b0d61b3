#include "servers/quarantine/crash_suspect.h"

#include <algorithm>

namespace monsoonsail {

Instant CrashSuspect::lastCrashAt() const
{
    Instant last = Instant::min();
    for (const auto &[endpoint, at] : crashes)
        last = std::max(last, at);
    return last;
}

EndpointEnds endsOf(const CrashSuspects &suspects)
{
    EndpointEnds ends;
    for (const auto &[part, suspect] : suspects) {
        for (const auto &[endpoint, at] : suspect.crashes) {
            EndpointEnd &end = ends.try_emplace(endpoint, EndpointEnd{.at = at}).first->second;
            end.at = std::min(end.at, at);
            // Any of the joined parts may be the cause, and come with others elsewhere.
            const bool isJoined = suspect.position >= maxSeparateParts;
            if (suspect.crashes.size() > 1 || isJoined)
                end.suspects.push_back(part);
        }
    }
    return ends;
}

} // namespace monsoonsail
