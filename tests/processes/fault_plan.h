#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonsail {

/// Kinds of faults that the soak test injects into a site.
enum class FaultKind {
    PauseDaemon,
    KillDaemon, ///< SIGKILL, then a restart.
    StopDaemon, ///< SIGTERM, then a restart.
    StoreSilent,
    StoreRefusing,
    EndpointDelayed,
    EndpointSilent,
    EndpointAnswersDropped,
    EndpointReset,
    EndpointLeaves,  ///< A new endpoint replaces it.
    EndpointCrashes, ///< A new endpoint replaces it.
    NewConfiguration,
};

/// Returns the name that reports use.
std::string faultName(FaultKind kind);

/// A fault, the time for which it lasts, and the process that it affects, if it affects a single
/// one.
struct PlannedFault
{
    FaultKind kind = FaultKind::PauseDaemon;
    std::chrono::milliseconds begin{}; ///< Since the start of the load.
    std::chrono::milliseconds end{};
    unsigned target = 0; ///< Index of the daemon or endpoint, modulo their number.
};

/// Returns the random faults of a seed, sorted by `begin`. They begin within `length` and may
/// overlap.
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace monsoonsail
