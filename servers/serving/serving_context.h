#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/random_source.h"
#include "servers/admission/admission_control.h"
#include "servers/allowance/allowance_ledger.h"
#include "servers/endpoints/endpoint_health_tracker.h"
#include "servers/endpoints/endpoint_limits.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/fleet/work_meter.h"
#include "servers/metering/usage_meter.h"
#include "servers/placement/placer.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/serving_metrics.h"
#include "servers/ports/traffic_port.h"
#include "servers/quarantine/prompt_quarantine.h"
#include "servers/retry/repeat_budget.h"
#include "servers/rollout/rollout_evidence.h"
#include "servers/rollout/rollout_traffic.h"
#include "servers/serving/answer_times.h"
#include "servers/serving/serving_limits.h"
#include "servers/site/site_configuration.h"
#include "servers/versions/unversioned_streams.h"

#include <memory>
#include <optional>
#include <string>

namespace monsoonsail {

/// State shared by the parts of the serving core. Owned by the control plane.
struct ServingContext
{
    ServingContext(const ServingLimits &servingLimits, ZoneId ownZone,
                   const std::string &incarnation, TrafficPort &trafficPort,
                   DecisionLog &decisionLog, ServingMetrics &servingMetrics);
    ServingContext(const ServingContext &) = delete;
    ServingContext &operator=(const ServingContext &) = delete;

    /// Whether the configuration is recent enough to reject a request for something that it does
    /// not contain.
    bool isConfigurationFresh(Instant now) const
    {
        const bool isNewest = !configuration || configuration->revision() >= announcedRevision;
        return isNewest && !isStoreBehind && configurationCertainFrom <= now
                && configurationAsOf + limits.maxConfigurationAge > now;
    }
    /// Whether a later configuration may have taken away what the one in force allows.
    bool isConfigurationOutdated(Instant now) const
    {
        return isConfigurationReplaced || configurationCheckedFrom > now;
    }
    /// Returns for how long a live peer has had a later configuration than the one in force.
    Duration configurationBehindFor(Instant now) const
    {
        return now - configurationBehindSince.value_or(now);
    }
    /// Passes the limits of roll-outs on. Call after a change of the limits.
    void applyRolloutLimits();
    /// Whether the list of endpoints has been read.
    bool knowsEndpoints() const { return endpointsAsOf != Instant(); }
    /// Returns the placer for the endpoints of a service.
    Placer &placerFor(const Service &service) const
    {
        return service.engine ? *enginePlacer : *servicePlacer;
    }

    ServingLimits limits;
    const ZoneId zone;
    TrafficPort &traffic;
    DecisionLog &log;
    ServingMetrics &metrics;
    RandomSource random;
    EndpointRegistry endpoints;
    EndpointHealthTracker endpointHealth;
    EndpointLimits endpointLimits;
    PromptQuarantine promptQuarantine;
    WorkMeter workMeter;
    std::unique_ptr<Placer> enginePlacer;
    std::unique_ptr<Placer> servicePlacer;
    RepeatBudget repeatBudget;
    AllowanceLedger allowances;
    AdmissionControl admission;
    UsageMeter usageMeter;
    std::shared_ptr<const SiteConfiguration> configuration; ///< In force; null before the first.
    /// Whether the store, as last read, lacks a configuration that was published.
    bool isStoreBehind = false;
    /// Before this instant, live peers may have a later configuration without having been heard.
    Instant configurationCertainFrom = Instant::min();
    Revision announcedRevision = 0; ///< Highest one that a live peer has in force.
    /// Since when a live peer has had a later configuration than the one in force; empty if none.
    std::optional<Instant> configurationBehindSince;
    /// Whether the store, as read since, lacks the configuration of that revision.
    bool isConfigurationReplaced = false;
    /// Before this instant, the one in force may be of the copy from which the store came back.
    Instant configurationCheckedFrom = Instant::min();
    Instant configurationAsOf;       ///< When the configuration was last known to be the newest.
    Instant endpointsAsOf;           ///< All endpoint changes up to this instant are known.
    bool refusesNewRequests = false; ///< Set while the process is stopping.
    /// Requests that are not expected to be answered by then are refused. Set while the process is
    /// stopping.
    Instant answersDueAt = Instant::max();
    AnswerTimes answerTimes;
    UnversionedStreams unversionedStreams;
    StreamVersions *streamVersions = &unversionedStreams; ///< Never null.
    RolloutTraffic rolloutTraffic;
    RolloutEvidence rolloutEvidence;
};

} // namespace monsoonsail
