#include "tests/processes/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace monsoonsail {

namespace {

constexpr std::array names{"pause-daemon",    "kill-daemon",          "stop-daemon",
                           "store-silent",    "store-refusing",       "endpoint-delayed",
                           "endpoint-silent", "endpoint-answers-cut", "endpoint-reset",
                           "endpoint-leaves", "endpoint-crashes",     "new-configuration"};
constexpr unsigned fewestFaults = 4;
constexpr unsigned mostFaults = 10;
constexpr unsigned mostTargets = 100;
constexpr std::chrono::milliseconds shortestFault{200};
constexpr std::chrono::milliseconds longestFault{2000};

} // namespace

std::string faultName(FaultKind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    std::vector<PlannedFault> faults(draw(fewestFaults, mostFaults));
    for (PlannedFault &fault : faults) {
        fault.kind = static_cast<FaultKind>(draw(0, names.size() - 1));
        fault.begin = std::chrono::milliseconds(draw(0, length.count()));
        fault.end = fault.begin
                + std::chrono::milliseconds(draw(shortestFault.count(), longestFault.count()));
        fault.target = static_cast<unsigned>(draw(0, mostTargets));
    }
    std::ranges::sort(faults, {}, &PlannedFault::begin);
    return faults;
}

} // namespace monsoonsail
