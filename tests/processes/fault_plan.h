#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonsail {

/// What the soak does to a site.
enum class FaultKind {
    PauseDaemon,
    KillDaemon,
    StopDaemon, ///< SIGTERM, then a new start.
    StoreSilent,
    StoreRefusing,
    EndpointDelayed,
    EndpointSilent,
    EndpointAnswersCut,
    EndpointReset,
    EndpointLeaves, ///< Another one takes its place.
    EndpointCrashes,
    NewConfiguration,
};

/// Returns the name for reports.
std::string faultName(FaultKind kind);

/// One fault, from its begin to its end.
struct PlannedFault
{
    FaultKind kind = FaultKind::PauseDaemon;
    std::chrono::milliseconds begin{}; ///< From the begin of the load.
    std::chrono::milliseconds end{};
    unsigned target = 0; ///< Index of the daemon or endpoint, modulo their number.
};

/// Returns the faults of a seed, in the order of their begin. They come in series and overlap.
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace monsoonsail
