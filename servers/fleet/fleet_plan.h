#pragma once

#include "core/identifiers.h"
#include "servers/ports/duty_port.h"

#include <map>
#include <utility>

namespace monsoonsail {

/// Engines of one market in one availability zone.
using EnginePool = std::pair<ZoneId, Market>;

/// Numbers of engines by zone and market.
using FleetPlan = std::map<EnginePool, unsigned>;

} // namespace monsoonsail
