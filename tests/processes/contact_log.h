#pragma once

#include <chrono>
#include <map>
#include <vector>

namespace monsoonsail {

/// Records when daemons were killed, restarted or stopped by signals.
class ContactLog
{
public:
    using Instant = std::chrono::steady_clock::time_point;

    /// Marks a daemon as disturbed until the matching call of endDisturbance().
    void beginDisturbance(unsigned daemon);
    void endDisturbance(unsigned daemon);
    bool wasDisturbed(unsigned daemon, Instant from, Instant until) const;

private:
    struct Disturbance
    {
        Instant begin;
        Instant end = Instant::max();
        unsigned openCount = 0; ///< Calls of beginDisturbance() that have no matching end.
    };

    std::map<unsigned, std::vector<Disturbance>> m_disturbances;
};

} // namespace monsoonsail
