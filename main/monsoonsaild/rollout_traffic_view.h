#pragma once

#include "servers/rollout/rollout_view.h"
#include "servers/serving/serving_context.h"

#include <memory>

namespace monsoonsail {

/// Returns a view of the roll-outs in the traffic of this instance. `context` must outlive it.
std::unique_ptr<RolloutView> makeRolloutTrafficView(ServingContext &context);

} // namespace monsoonsail
