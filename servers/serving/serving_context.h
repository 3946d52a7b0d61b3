#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/random_source.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/placement/placer.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/traffic_port.h"
#include "servers/retry/repeat_budget.h"
#include "servers/serving/serving_limits.h"
#include "servers/site/site_configuration.h"

#include <memory>

namespace monsoonsail {

/// State that the parts of the serving core share. Owned by ServingCore.
struct ServingContext
{
    ServingLimits limits;
    TrafficPort &traffic;
    DecisionLog &log;
    std::unique_ptr<Placer> placer;
    RandomSource random;
    RepeatBudget repeats{limits.repeats};
    EndpointRegistry endpoints;
    std::shared_ptr<const SiteConfiguration> configuration; ///< In force; null before the first.
    Instant configurationAsOf; ///< The configuration was the newest one at this instant.
    bool refusesNew = false;   ///< Whether the process is about to end.

    /// Whether the configuration is recent enough to tell a caller that something isn't in it.
    bool isConfigurationFresh(Instant now) const
    {
        return configurationAsOf + limits.configurationAge > now;
    }
};

} // namespace monsoonsail
