#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Phase of a roll-out. The values are stored and sent to other instances.
enum class RolloutPhase : std::uint8_t {
    Trial = 1,       ///< The target gets a bounded share of the requests.
    Shifting = 2,    ///< New requests go to the target; streams of old versions end.
    Completed = 3,   ///< The old endpoints are stopped.
    RollingBack = 4, ///< No request goes to the target; the operator has not been told yet.
    RolledBack = 5,
};

/// Returns the name of a phase in the log and the metrics.
std::string_view rolloutPhaseName(RolloutPhase phase);

/// A roll-out of a software version, as far as it is known. A state with a later order replaces one
/// with an earlier order; of the same order, the one with the higher change number is newer.
struct RolloutState
{
    ServiceId service;
    SoftwareVersion target;
    RolloutPhase phase = RolloutPhase::Trial;
    LogOffset order = 0;      ///< Position of the operator's order in the store.
    std::uint32_t change = 0; ///< Number of the change of phase within the order.
    Instant orderedAt;
    Instant dueAt; ///< When the roll-out must be completed or rolled back.
    std::vector<SoftwareVersion> oldVersions; ///< Versions in service when the order arrived.
};

} // namespace monsoonsail
