#pragma once

#include "tests/processes/fault_timetable.h"
#include "tests/processes/fleet_load.h"
#include "tests/processes/large_fleet.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Zones of endpoints leave one after the other while the daemons that read the store are killed,
/// others are paused, and other processes use the processor. Everything random comes from a seed.
class LeavingRun
{
public:
    explicit LeavingRun(std::uint64_t seed);
    /// Describes the requests that reached an endpoint too late, and prints a summary.
    std::vector<std::string> run();

private:
    using Milliseconds = std::chrono::milliseconds;

    void planLeavings();
    void planKill(Milliseconds leavingAt);
    void planPauses();
    std::vector<std::string> lateRequests();
    int draw(int min, int max) { return std::uniform_int_distribution<int>(min, max)(m_random); }
    void describe(Milliseconds at, std::string what) { m_description.emplace(at, std::move(what)); }

    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    LargeFleet m_fleet;
    FaultTimetable m_timetable;
    std::chrono::steady_clock::time_point m_start;
    std::multimap<Milliseconds, std::string> m_description; ///< Steps of the run by time.
    std::set<Milliseconds> m_rounds; ///< When the endpoints of a zone begin to leave.
    unsigned m_lateCount = 0;
    Milliseconds m_worstInTouch{}; ///< From an acknowledged leaving to the last request.
    Milliseconds m_worst{};        ///< As above, with daemons that were not in touch.
};

} // namespace monsoonsail
