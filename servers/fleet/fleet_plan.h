#pragma once

#include "core/identifiers.h"
#include "servers/ports/duty_port.h"

#include <map>
#include <utility>

namespace monsoonsail {

/// Engines of one market in one availability zone.
using EnginePool = std::pair<ZoneId, Market>;

/// Number of engines in each pool.
using FleetPlan = std::map<EnginePool, unsigned>;

} // namespace monsoonsail
