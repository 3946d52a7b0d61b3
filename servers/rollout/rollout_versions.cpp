#include "servers/rollout/rollout_versions.h"

#include <algorithm>

namespace monsoonsail {

bool RolloutVersions::isServing(const ServiceId &service, const SoftwareVersion &software) const
{
    const std::optional<RolloutState> state = find(service);
    if (!state)
        return true;
    const bool isOld = std::ranges::find(state->oldVersions, software) != state->oldVersions.end();
    if (state->phase == RolloutPhase::Shifting || state->phase == RolloutPhase::Completed)
        return !isOld;
    // The target of an earlier order may be draining still.
    if (state->phase != RolloutPhase::RolledBack && !state->oldVersions.empty())
        return isOld;
    return software != state->target;
}

bool RolloutVersions::isRollingOut(const ServiceId &service) const
{
    const std::optional<RolloutState> state = find(service);
    return state && state->phase != RolloutPhase::Completed
            && state->phase != RolloutPhase::RolledBack;
}

std::optional<RolloutState> RolloutVersions::find(const ServiceId &service) const
{
    const std::vector<RolloutState> states = m_view.states();
    const auto entry = std::ranges::find(states, service, &RolloutState::service);
    return entry == states.end() ? std::nullopt : std::optional(*entry);
}

} // namespace monsoonsail
