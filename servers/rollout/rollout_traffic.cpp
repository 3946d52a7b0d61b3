#include "servers/rollout/rollout_traffic.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace monsoonsail {

namespace {

/// Part of the exposure share that is used, so that resumed streams and instances that hear of an
/// order late stay within it.
constexpr double usedExposure = 0.8;
/// Chance that a request is sampled while there is a credit. Below one, so that requests that come
/// in a regular order are all sampled.
constexpr double samplingChance = 0.3;
constexpr double maxCredit = 2;
/// The target takes all requests if this part of the number of old endpoints is free there. With
/// less, it would be overloaded.
constexpr double enoughTargetEndpoints = 0.5;
/// Limit on the services of which peers report roll-outs.
constexpr std::size_t maxServices = 64;
constexpr std::size_t maxAbandoned = 16;
/// Final states are in each digest for this long, and in complete digests ever after, for instances
/// that start later.
constexpr Duration finalStateRepeatTime = std::chrono::seconds(10);
constexpr std::string_view unorderedPhaseName = "unordered";

bool isNewer(const RolloutState &state, const RolloutState &known)
{
    return state.order != known.order ? state.order > known.order : state.change > known.change;
}

bool isOpen(RolloutPhase phase)
{
    return phase != RolloutPhase::Completed && phase != RolloutPhase::RolledBack;
}

} // namespace

RolloutTraffic::RolloutTraffic(DecisionLog &log, ServingMetrics &metrics, std::uint64_t seed)
    : m_log(log)
    , m_metrics(metrics)
    , m_random(seed)
{ }

void RolloutTraffic::setExposureShare(std::optional<double> share)
{
    m_sampledShare = std::clamp(share.value_or(0), 0.0, 1.0) * usedExposure;
}

RolloutTraffic::ServiceRollout &RolloutTraffic::entry(const ServiceId &service)
{
    const auto [found, isAdded] = m_services.try_emplace(service);
    // A random begin spreads the sampled requests of many instances evenly.
    if (isAdded)
        found->second.credit = m_random.fraction();
    return found->second;
}

void RolloutTraffic::apply(const RolloutState &state, Instant now)
{
    if (applyIfNewer(state, "store", now) && m_newsHandler)
        m_newsHandler();
}

void RolloutTraffic::applyPeerStates(std::span<const RolloutState> states, Duration clockOffset,
                                     Instant now)
{
    if (!isEnabled())
        return;
    for (const RolloutState &reported : states) {
        if (m_services.size() >= maxServices && !m_services.contains(reported.service))
            continue;
        RolloutState state = reported;
        state.orderedAt -= clockOffset;
        state.dueAt -= clockOffset;
        applyIfNewer(state, "peer", now);
    }
}

bool RolloutTraffic::applyIfNewer(const RolloutState &state, std::string_view source, Instant now)
{
    ServiceRollout &rollout = entry(state.service);
    if (rollout.state && !isNewer(state, *rollout.state))
        return false;
    const bool isNewOrder = !rollout.state || rollout.state->order != state.order;
    if (isNewOrder) {
        if (rollout.abandoned.size() >= maxAbandoned)
            rollout.abandoned.clear();
        if (rollout.state && rollout.state->phase != RolloutPhase::Completed)
            rollout.abandoned.insert(rollout.state->target);
        rollout.isSuspended = false;
        rollout.isTargetMissing = false;
        rollout.credit = m_random.fraction();
    }
    rollout.abandoned.erase(state.target);
    for (const SoftwareVersion &old : state.oldVersions)
        rollout.abandoned.erase(old);
    rollout.state = state;
    rollout.heardAt = now;
    m_log.write(LogLevel::Info, "rollout-state", {},
                {{"service", state.service.view()},
                 {"target", state.target.view()},
                 {"phase", rolloutPhaseName(state.phase)},
                 {"order", toLog(state.order)},
                 {"change", toLog(state.change)},
                 {"source", source}});
    return true;
}

std::vector<RolloutState> RolloutTraffic::states() const
{
    std::vector<RolloutState> states;
    for (const auto &[service, rollout] : m_services) {
        if (rollout.state)
            states.push_back(*rollout.state);
    }
    return states;
}

std::vector<RolloutState> RolloutTraffic::digestStates(bool isComplete, Instant now) const
{
    std::vector<RolloutState> states;
    for (const auto &[service, rollout] : m_services) {
        if (rollout.state
            && (isComplete || isOpen(rollout.state->phase)
                || rollout.heardAt + finalStateRepeatTime > now))
            states.push_back(*rollout.state);
    }
    return states;
}

const RolloutState *RolloutTraffic::find(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || !found->second.state ? nullptr : &*found->second.state;
}

void RolloutTraffic::suspend(const ServiceId &service, std::string_view reason)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.state
        || std::exchange(found->second.isSuspended, true))
        return;
    m_log.write(LogLevel::Warning, "rollout-suspended", {},
                {{"service", service.view()},
                 {"target", found->second.state->target.view()},
                 {"phase", rolloutPhaseName(found->second.state->phase)},
                 {"reason", reason}});
}

bool RolloutTraffic::isSuspended(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isSuspended;
}

void RolloutTraffic::observe(const EndpointRegistry &endpoints, Instant now)
{
    if (!isEnabled())
        return;
    std::map<ServiceId, std::set<SoftwareVersion>> listed;
    for (const auto &[id, endpoint] : endpoints.all()) {
        if (endpoint.isUsable(now))
            listed[endpoint.listing.service].insert(endpoint.listing.software);
    }
    for (const auto &[service, versions] : listed)
        entry(service).versions.observe(versions, now);
}

bool RolloutTraffic::sample(const ServiceId &service)
{
    if (!isEnabled())
        return false;
    ServiceRollout &rollout = entry(service);
    rollout.credit = std::min(rollout.credit + m_sampledShare, maxCredit);
    if (rollout.credit < 1 || m_random.fraction() >= samplingChance)
        return false;
    rollout.credit -= 1;
    return true;
}

RolloutTraffic::Use RolloutTraffic::useOf(const ServiceRollout &rollout,
                                          const SoftwareVersion &software, Instant now)
{
    const bool isNew = rollout.versions.isNew(software, graceTime, now);
    if (!rollout.state)
        return isNew ? Use::Trial : Use::Ordinary;
    const RolloutState &state = *rollout.state;
    const RolloutPhase phase = state.phase;
    if (software == state.target) {
        // The old endpoints of a completed roll-out are about to end.
        const bool isSuspended = rollout.isSuspended && phase != RolloutPhase::Completed;
        if (isSuspended || phase == RolloutPhase::RollingBack || phase == RolloutPhase::RolledBack)
            return Use::Banned;
        return phase == RolloutPhase::Trial ? Use::Trial : Use::Preferred;
    }
    if (rollout.abandoned.contains(software))
        return Use::Banned;
    const bool isOld = std::ranges::find(state.oldVersions, software) != state.oldVersions.end();
    // While an order is open, its target is the only version on trial.
    if (isNew && !isOld)
        return isOpen(phase) ? Use::Banned : Use::Trial;
    const bool isShifted = phase == RolloutPhase::Completed
            || (phase == RolloutPhase::Shifting && !rollout.isSuspended);
    return isShifted ? Use::Reserve : Use::Ordinary;
}

RolloutTraffic::Uses RolloutTraffic::usesOf(std::initializer_list<Use> uses)
{
    Uses result;
    for (const Use use : uses)
        result.set(static_cast<std::size_t>(use));
    return result;
}

RolloutTraffic::Uses RolloutTraffic::mainUses(const ServiceRollout &rollout,
                                              std::span<const ClassifiedCandidate> candidates)
{
    unsigned others = 0;
    unsigned listedTargets = 0;
    unsigned freeTargets = 0;
    bool isTrialListed = false;
    for (const ClassifiedCandidate &each : candidates) {
        if (each.use == Use::Preferred) {
            ++listedTargets;
            if (each.candidate.isFree && !each.candidate.isSuspect)
                ++freeTargets;
        } else if (each.use == Use::Ordinary || each.use == Use::Reserve) {
            ++others;
        }
        isTrialListed = isTrialListed || each.use == Use::Trial;
    }
    if (listedTargets == 0 && others == 0)
        return usesOf({isTrialListed ? Use::Trial : Use::Banned});
    const bool isCompleted = rollout.state && rollout.state->phase == RolloutPhase::Completed;
    const bool hasEnough = freeTargets > 0 && freeTargets >= enoughTargetEndpoints * others;
    if (hasEnough || (isCompleted && listedTargets > 0))
        return usesOf({Use::Preferred});
    return usesOf({Use::Ordinary, Use::Preferred, Use::Reserve});
}

std::vector<const Endpoint *>
RolloutTraffic::mayUse(const RolloutRun &run, std::span<const RolloutCandidate> usable, Instant now)
{
    ServiceRollout &rollout = entry(run.service);
    std::vector<ClassifiedCandidate> candidates;
    candidates.reserve(usable.size());
    for (const RolloutCandidate &candidate : usable) {
        const SoftwareVersion &software = candidate.endpoint->listing.software;
        const bool isSame = !candidates.empty()
                && candidates.back().candidate.endpoint->listing.software == software;
        candidates.push_back(
                {.candidate = candidate,
                 .use = isSame ? candidates.back().use : useOf(rollout, software, now)});
    }
    Uses uses = mainUses(rollout, candidates);
    const bool hasOthers = (uses & usesOf({Use::Trial, Use::Banned})).none();
    // A request has one run on trial. If that is slow or fails, an old version answers: it loses
    // fewer requests, and repeats don't add to what a bad version gets.
    const bool mayTry = run.software ? useOf(rollout, *run.software, now) == Use::Trial
                                     : run.isSampled && run.isFirst;
    if (hasOthers && mayTry) {
        std::vector<const Endpoint *> sampled = sampledEndpoints(rollout, candidates);
        if (rollout.state && rollout.state->phase == RolloutPhase::Trial)
            reportTarget(rollout, std::ranges::none_of(candidates, [](const auto &each) {
                             return each.use == Use::Trial;
                         }));
        if (!sampled.empty())
            return sampled;
    }
    // A stream has no other version to go on at.
    if (run.software && hasOthers)
        uses = usesOf({Use::Ordinary, Use::Trial, Use::Preferred, Use::Reserve});
    std::vector<const Endpoint *> untried;
    std::vector<const Endpoint *> tried;
    for (const ClassifiedCandidate &each : candidates) {
        if (each.candidate.isFree && uses.test(static_cast<std::size_t>(each.use)))
            (each.candidate.isTried ? tried : untried).push_back(each.candidate.endpoint);
    }
    return untried.empty() ? tried : untried;
}

std::vector<const Endpoint *>
RolloutTraffic::sampledEndpoints(const ServiceRollout &rollout,
                                 std::span<const ClassifiedCandidate> candidates) const
{
    const std::uint64_t seed = rollout.state ? rollout.state->order : 0;
    std::vector<std::pair<std::uint64_t, const RolloutCandidate *>> onTrial;
    for (const ClassifiedCandidate &each : candidates) {
        if (each.use != Use::Trial)
            continue;
        onTrial.emplace_back(stableHash(each.candidate.endpoint->id.view(), seed), &each.candidate);
    }
    std::ranges::sort(onTrial);
    // The load of an endpoint on trial is that of an endpoint once all requests go to the version.
    onTrial.resize(static_cast<std::size_t>(
            std::ceil(m_sampledShare * static_cast<double>(onTrial.size()))));
    std::vector<const Endpoint *> free;
    for (const auto &[hash, candidate] : onTrial) {
        if (candidate->isFree && !candidate->isTried && !candidate->isSuspect)
            free.push_back(candidate->endpoint);
    }
    return free;
}

void RolloutTraffic::reportTarget(ServiceRollout &rollout, bool isMissing)
{
    if (std::exchange(rollout.isTargetMissing, isMissing) == isMissing)
        return;
    m_log.write(isMissing ? LogLevel::Warning : LogLevel::Info, "rollout-target", {},
                {{"service", rollout.state->service.view()},
                 {"target", rollout.state->target.view()},
                 {"listed", !isMissing}});
}

void RolloutTraffic::recordStart(const RolloutRun &run, const SoftwareVersion &software,
                                 Instant now)
{
    if (!isEnabled())
        return;
    ServiceRollout &rollout = entry(run.service);
    const bool isOnTrial = useOf(rollout, software, now) == Use::Trial;
    if (isOnTrial && !(run.isSampled && run.isFirst))
        rollout.credit -= 1;
    if (rollout.state && software == rollout.state->target) {
        m_metrics.recordRolloutRun(run.service.view(), rolloutPhaseName(rollout.state->phase));
    } else if (isOnTrial) {
        m_metrics.recordRolloutRun(run.service.view(), unorderedPhaseName);
    }
}

} // namespace monsoonsail
