#include "servers/serving/serving_context.h"

#include "core/hash.h"
#include "servers/placement/engine_placer.h"
#include "servers/placement/service_placer.h"

#include <utility>

namespace monsoonsail {

namespace {
// Different seeds keep the random choices of the components independent of each other.
constexpr std::uint64_t engineSeed = 1;
constexpr std::uint64_t serviceSeed = 2;
constexpr std::uint64_t allowanceSeed = 3;
constexpr std::uint64_t rolloutSeed = 4;
constexpr std::uint64_t admissionSeed = 5;
} // namespace

ServingContext::ServingContext(const ServingLimits &servingLimits, ZoneId ownZone,
                               const std::string &incarnation, TrafficPort &trafficPort,
                               DecisionLog &decisionLog, ServingMetrics &servingMetrics)
    : limits(servingLimits)
    , zone(std::move(ownZone))
    , traffic(trafficPort)
    , log(decisionLog)
    , metrics(servingMetrics)
    , random(stableHash(incarnation))
    , promptQuarantine(log)
    , workMeter(limits.fleet)
    , enginePlacer(std::make_unique<EnginePlacer>(
              endpointHealth, workMeter, stableHash(incarnation, engineSeed),
              limits.learnsCosts ? std::make_unique<EngineCosts>(metrics, log) : nullptr))
    , servicePlacer(std::make_unique<ServicePlacer>(
              zone, endpointHealth, stableHash(incarnation, serviceSeed),
              limits.learnsCosts ? std::make_unique<AnswerSpeeds>(metrics) : nullptr))
    , repeatBudget(limits.repeats)
    , allowances(limits.allowances, stableHash(incarnation, allowanceSeed))
    , admission(stableHash(incarnation, admissionSeed))
    , usageMeter(incarnation, limits.usageWindow)
    , rolloutTraffic(log, metrics, stableHash(incarnation, rolloutSeed))
    , rolloutEvidence(rolloutTraffic)
{
    applyRolloutLimits();
}

void ServingContext::applyRolloutLimits()
{
    rolloutTraffic.setExposureShare(limits.rollout ? std::optional(limits.rollout->exposureShare)
                                                   : std::nullopt);
}

} // namespace monsoonsail
