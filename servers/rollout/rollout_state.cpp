#include "servers/rollout/rollout_state.h"

namespace monsoonsail {

std::string_view rolloutPhaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::Shifting:
        return "shifting";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RollingBack:
        return "rolling-back";
    case RolloutPhase::RolledBack:
        return "rolled-back";
    }
    return "unknown";
}

} // namespace monsoonsail
