#pragma once

#include "servers/rollout/rollout_state.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Topic of the states of roll-outs. The key of a record is the service.
inline constexpr std::string_view rolloutTopic = "keyed.rollouts";

/// Encodes a state for its record.
std::string encodeRolloutRecord(const RolloutState &state);
/// Returns std::nullopt if the text describes no state.
std::optional<RolloutState> decodeRolloutRecord(const std::string &service, std::string_view text);

} // namespace monsoonsail
