#include "tests/processes/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace monsoonsail {

namespace {

constexpr std::array faultNames{
        "pause-daemon",   "kill-daemon",      "stop-daemon",      "store-silent",
        "store-refusing", "endpoint-delayed", "endpoint-silent",  "endpoint-answers-dropped",
        "endpoint-reset", "endpoint-leaves",  "endpoint-crashes", "new-configuration"};
constexpr unsigned minFaults = 4;
constexpr unsigned maxFaults = 10;
constexpr unsigned maxTarget = 100;
constexpr std::chrono::milliseconds minFaultTime{200};
constexpr std::chrono::milliseconds maxFaultTime{2000};

} // namespace

std::string faultName(FaultKind kind)
{
    return faultNames.at(static_cast<std::size_t>(kind));
}

std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::int64_t min, std::int64_t max) {
        return std::uniform_int_distribution<std::int64_t>(min, max)(random);
    };
    std::vector<PlannedFault> faults(draw(minFaults, maxFaults));
    for (PlannedFault &fault : faults) {
        fault.kind = static_cast<FaultKind>(draw(0, faultNames.size() - 1));
        fault.begin = std::chrono::milliseconds(draw(0, length.count()));
        fault.end = fault.begin
                + std::chrono::milliseconds(draw(minFaultTime.count(), maxFaultTime.count()));
        fault.target = static_cast<unsigned>(draw(0, maxTarget));
    }
    std::ranges::sort(faults, {}, &PlannedFault::begin);
    return faults;
}

} // namespace monsoonsail
