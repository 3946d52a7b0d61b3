#pragma once

#include "tests/processes/large_fleet.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace monsoonsail {

/// The holder of the duties is killed again and again just after one of its reports was accepted,
/// while the platform answers late, loses answers and carries out calls seconds later. Everything
/// random comes from a seed.
class ReportRun
{
public:
    explicit ReportRun(std::uint64_t seed);
    /// Returns the reports of one window that differ, and prints a summary.
    std::vector<std::string> run();

private:
    void disturbNextWindow();
    void killHolder(const std::string &holder);
    std::vector<std::string> differingReports();
    std::vector<std::string> sharedFencingNumbers();
    /// Returns the number of reports of windows that another holder had reported before.
    std::size_t repeatCount();
    /// Returns the number of reports that differ from what was stored for the next holder. They
    /// break no rule as long as no other holder reports the same window.
    unsigned otherThanStored();
    int draw(int min, int max) { return std::uniform_int_distribution<int>(min, max)(m_random); }

    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    LargeFleet m_fleet;
    std::chrono::steady_clock::time_point m_start;
    std::vector<std::string> m_description;
    int m_windowsBeforeKill = 0;
    unsigned m_killCount = 0;
    std::size_t m_windowCount = 0;
};

} // namespace monsoonsail
