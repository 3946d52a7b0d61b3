#include "servers/serving/attempt_launcher.h"

#include "core/hash.h"
#include "servers/serving/run_allowance.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>

namespace monsoonsail {

namespace {

/// If connecting takes longer, the request is sent to another endpoint. A single lost packet delays
/// a connection by a second.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
/// The same while an earlier attempt of the request is kept.
constexpr Duration replacementConnectTimeout = std::chrono::milliseconds(200);
/// Time for which an attempt is kept after the start of the one that replaces it. It covers a
/// connection that fails and an endpoint that declines at once. Endpoints must not work on the same
/// request for 400 ms.
constexpr Duration replacedAttemptTime = std::chrono::milliseconds(250);
/// A request that cannot be repeated only uses a kept connection that was in use this recently; it
/// might be lost on one that has been idle for longer.
constexpr Duration maxSafeIdleTime = std::chrono::milliseconds(900);
/// Expected output of a stream whose caller gives no estimate.
constexpr std::uint32_t defaultOutputTokens = 128;
/// Work of an engine for an output token, in prompt tokens.
constexpr double outputTokenCost = 10;

PlacementRequest placementRequest(const RequestRecord &record)
{
    const RequestArrival &arrival = record.arrival;
    return {.service = record.service,
            .promptTokens = arrival.promptTokens.value_or(0),
            .outputTokens = arrival.expectedOutputTokens > 0
                    ? arrival.expectedOutputTokens
                    : std::min(arrival.maxOutputTokens, defaultOutputTokens),
            .parts = arrival.promptParts,
            .firstByteGoalAt = arrival.arrivedAt + record.route->responseGoal,
            .pauseGoal = record.route->pauseGoal,
            .route = record.route->name,
            .account = record.account != nullptr ? record.account->name.view() : std::string_view(),
            .hintedTokens = arrival.expectedOutputTokens,
            .maxOutputTokens = arrival.maxOutputTokens};
}

/// Returns the endpoints of the runs, separated by commas. Those between which a run was moved are
/// joined by ">".
std::string toLog(std::span<const RequestRuns::Run> runs)
{
    std::string text;
    for (const RequestRuns::Run &run : runs) {
        text += text.empty() ? "" : ",";
        for (const EndpointId &endpoint : run.endpoints) {
            text += endpoint == run.endpoints.front() ? "" : ">";
            text += endpoint.view();
        }
    }
    return text;
}

/// Returns "<endpoint>:<excuse>" of each run, separated by commas.
std::string toLog(std::span<const ExcusedRun> runs)
{
    std::string text;
    for (const ExcusedRun &run : runs) {
        text += text.empty() ? "" : ",";
        text += run.endpoint.view();
        text += ":";
        text += run.reason;
    }
    return text;
}

RolloutRun rolloutRun(const RequestRecord &record)
{
    return {.service = record.service->name,
            .software = record.software,
            .isSampled = record.isSampledForTrial,
            .isFirst = record.attemptSoftware.empty()};
}

std::optional<unsigned> engineUrgency(const RequestRecord &record)
{
    return record.service->engine ? std::optional(record.urgency()) : std::nullopt;
}

} // namespace

AttemptLauncher::AttemptLauncher(ServingContext &context)
    : m_context(context)
{ }

// A run continues a stream only at the version that began it. Before that, a resumable stream
// begins only at a version that each instance can know of when the caller takes the stream up.
bool AttemptLauncher::hasSoftwareFor(const RequestRecord &record, const Endpoint &endpoint) const
{
    const EndpointListing &listing = endpoint.listing;
    if (listing.service != record.service->name)
        return false;
    if (record.software)
        return listing.software == *record.software;
    return !record.isResumable()
            || m_context.streamVersions->mayBegin(listing.service, listing.software);
}

bool AttemptLauncher::hasUsableSoftware(const RequestRecord &record, Instant now) const
{
    return std::ranges::any_of(m_context.endpoints.all(), [&](const auto &entry) {
        return entry.second.isUsable(now) && hasSoftwareFor(record, entry.second);
    });
}

bool AttemptLauncher::isFree(const RequestRecord &record, const Endpoint &endpoint,
                             Instant now) const
{
    return hasSoftwareFor(record, endpoint)
            && m_context.endpointHealth.closedUntil(endpoint.id, now) <= now
            && m_context.endpointLimits.mayUse(endpoint.id, now)
            && std::ranges::find(record.runningAttempts, endpoint.id, &RunningAttempt::endpoint)
            == record.runningAttempts.end();
}

std::vector<const Endpoint *> AttemptLauncher::candidates(const RequestRecord &record,
                                                          Instant now) const
{
    if (m_context.rolloutTraffic.isEnabled())
        return rolloutCandidates(record, now);
    std::vector<const Endpoint *> untried;
    std::vector<const Endpoint *> tried;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        if (endpoint.isUsable(now) && isFree(record, endpoint, now))
            (record.avoidedEndpoints.contains(id) ? tried : untried).push_back(&endpoint);
    }
    return untried.empty() ? tried : untried;
}

std::vector<const Endpoint *> AttemptLauncher::rolloutCandidates(const RequestRecord &record,
                                                                 Instant now) const
{
    std::vector<RolloutCandidate> usable;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        if (endpoint.listing.service != record.service->name || !endpoint.isUsable(now))
            continue;
        usable.push_back({.endpoint = &endpoint,
                          .isFree = isFree(record, endpoint, now),
                          .isTried = record.avoidedEndpoints.contains(id),
                          .isSuspect = m_context.endpointHealth.isSuspect(id, now)});
    }
    return m_context.rolloutTraffic.mayUse(rolloutRun(record), usable, now);
}

void AttemptLauncher::recordRolloutStart(const RequestRecord &record, const Placement &placement,
                                         const SoftwareVersion &software, AttemptNumber number,
                                         Instant now)
{
    m_context.rolloutTraffic.recordStart(rolloutRun(record), software, now);
    // A moved run has read its prompt elsewhere.
    if (placement.movedFrom != 0)
        return;
    m_context.rolloutEvidence.recordStart(number,
                                          {.service = record.service->name,
                                           .software = software,
                                           .routeHash = stableHash(record.route->name),
                                           .isStream = record.isStream(),
                                           .uncachedTokens = placement.uncachedTokens},
                                          now);
}

std::optional<Placement> AttemptLauncher::place(const RequestRecord &record, Instant now) const
{
    return m_context.placerFor(*record.service)
            .place(placementRequest(record), candidates(record, now), now);
}

std::optional<Instant> AttemptLauncher::nextOpeningTime(const RequestRecord &record,
                                                        Instant now) const
{
    std::optional<Instant> first;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        const Instant until = std::max(m_context.endpointHealth.closedUntil(id, now),
                                       m_context.endpointLimits.nextUseAt(id, now));
        if (until <= now || !hasSoftwareFor(record, endpoint) || !endpoint.isUsable(now))
            continue;
        first = std::min(first.value_or(until), until);
    }
    return first;
}

std::optional<Placement> AttemptLauncher::placeMovedRun(const RequestRecord &record,
                                                        Instant now) const
{
    PlacementRequest request = placementRequest(record);
    // The KV cache is moved, so the engine does not read the prompt again.
    request.promptTokens = 0;
    request.parts = {};
    return m_context.placerFor(*record.service).place(request, candidates(record, now), now);
}

void AttemptLauncher::startAttempt(RequestRecord &record, const Placement &placement, Instant now)
{
    const Endpoint &endpoint = *m_context.endpoints.find(placement.endpoint);
    if (!placement.isReserved)
        m_context.endpointLimits.recordUse(endpoint.id, now);
    const bool isReplacement =
            std::ranges::any_of(record.runningAttempts, &RunningAttempt::isBeingReplaced);
    const AttemptNumber number = ++m_lastAttempt;
    const std::string earlierEndpoints = toLog(record.runs.all());
    const RunAllowance allowance = runAllowance(record, m_context, now);
    const std::string excusedRuns = toLog(allowance.excused);
    record.runningAttempts.push_back({.number = number, .endpoint = endpoint.id, .startedAt = now});
    if (m_context.rolloutTraffic.isEnabled())
        recordRolloutStart(record, placement, endpoint.listing.software, number, now);
    record.attemptSoftware[number] = endpoint.listing.software;
    if (placement.movedFrom != 0)
        record.runs.beginContinuation(number, endpoint.id, placement.movedFrom);
    else
        record.runs.begin(number, endpoint.id);
    m_context.endpointHealth.recordAttemptStart(number, endpoint.id, record.isStream(), now);
    m_context.placerFor(*record.service)
            .recordAttemptStart(number, placementRequest(record), placement, now);
    if (sharesPlaces(record))
        m_context.admission.recordStart(number, placeRequest(record, placement), now);
    const RequestArrival &arrival = record.arrival;
    m_context.log.write(LogLevel::Detail, "attempt-started", arrival.callerId,
                        {{"attempt", static_cast<std::int64_t>(number)},
                         {"endpoint", endpoint.id.view()},
                         {"software", endpoint.listing.software.view()},
                         {"resumes", arrival.resumedRequest},
                         {"run", toLog(record.runs.count())},
                         {"allowed_runs", static_cast<std::int64_t>(allowance.runs)},
                         {"earlier_endpoints", earlierEndpoints},
                         {"excused_runs", excusedRuns},
                         {"uncached_tokens", static_cast<std::int64_t>(placement.uncachedTokens)},
                         {"moved", placement.cache.kind == CacheSource::Kind::Moved},
                         {"revision", static_cast<std::int64_t>(record.configuration->revision())},
                         {"configuration_age_ms", toMs(now - m_context.configurationAsOf)},
                         {"behind_ms", toMs(m_context.configurationBehindFor(now))}});
    m_context.traffic.startAttempt(
            {.request = arrival.number,
             .attempt = number,
             .endpoint = endpoint.id,
             .address = endpoint.listing.address,
             .instance = endpoint.listing.instance,
             .startedMs = endpoint.listing.startedMs,
             .software = endpoint.listing.software,
             .checksIncarnation = record.isResumable(),
             .account = record.account != nullptr ? record.account->name : AccountId(),
             .urgency = engineUrgency(record),
             .resumeAfter = record.lastEvent,
             .cache = placement.cache,
             .isStream = record.isStream(),
             .connectionUsedAfter = record.isIdempotent() ? Instant::min() : now - maxSafeIdleTime,
             .connectDeadline =
                     std::min(now + (isReplacement ? replacementConnectTimeout : connectTimeout),
                              record.deadline),
             .deadline = record.deadline});
}

PlaceRequest AttemptLauncher::placeRequest(const RequestRecord &record,
                                           const Placement &placement) const
{
    const PlacementRequest request = placementRequest(record);
    const double running = m_context.enginePlacer->runningRequests(placement.endpoint);
    return {.service = record.service->name,
            .account = record.account != nullptr ? record.account->name : AccountId(),
            .urgency = record.urgency(),
            .cost = request.promptTokens + outputTokenCost * request.outputTokens,
            .charge = record.charge,
            .expectedFirstEventAt = placement.expectedFirstByteAt,
            .goalAt = request.firstByteGoalAt,
            .deadline = record.deadline,
            .hasFreeSlot = running < record.service->engine->batchSlots};
}

EngineUse AttemptLauncher::engineUse(const Service &service, Instant now) const
{
    EngineUse use;
    for (const auto &[id, endpoint] : m_context.endpoints.all()) {
        if (endpoint.listing.service != service.name || !endpoint.isUsable(now))
            continue;
        use.running += m_context.enginePlacer->runningRequests(id);
        use.slots += service.engine->batchSlots;
    }
    return use;
}

std::optional<Instant> AttemptLauncher::refuseForPlaces(const RequestRecord &record,
                                                        const Placement &placement, Instant now)
{
    if (!sharesPlaces(record) || record.isTakeUp())
        return std::nullopt;
    AdmissionControl &admission = m_context.admission;
    AllowanceLedger &allowances = m_context.allowances;
    if (admission.needsAccounts(now)) {
        const std::size_t instances = allowances.instanceCount();
        admission.updateAccounts(allowances.rates(now), static_cast<unsigned>(instances),
                                 Mesh::typicalAge(instances), allowances.missesPeers(now), now);
    }
    if (admission.needsUse(record.service->name, now))
        admission.updateUse(record.service->name, engineUse(*record.service, now), now);
    const PlaceRequest request = placeRequest(record, placement);
    const auto refusal = admission.refuse(request, now);
    if (!refusal)
        return std::nullopt;
    const std::string_view reason = placeRefusalName(refusal->reason);
    m_context.log.write(LogLevel::Warning, "place-refused", record.arrival.callerId,
                        {{"reason", reason},
                         {"service", request.service.view()},
                         {"account", request.account.view()},
                         {"urgency", toLog(std::uint64_t{request.urgency})},
                         {"cost", request.cost},
                         {"expected_first_ms", toMs(request.expectedFirstEventAt - now)},
                         {"lateness", refusal->lateness},
                         {"admitted_fraction", refusal->admittedFraction},
                         {"retry_in_ms", toMs(refusal->retryAt - now)}});
    m_context.metrics.recordAdmissionRefusal(reason, request.urgency);
    return refusal->retryAt;
}

bool AttemptLauncher::sharesPlaces(const RequestRecord &record) const
{
    return m_context.limits.sharesPlaces && record.service->engine;
}

void AttemptLauncher::recordEnd(const RequestRecord &record, const RunningAttempt &attempt,
                                EndpointVerdict verdict, Instant now)
{
    if (verdict == EndpointVerdict::Succeeded)
        m_context.rolloutEvidence.recordAnswer(attempt.number, now);
    else if (verdict == EndpointVerdict::Failed)
        m_context.rolloutEvidence.recordFailure(attempt.number);
    else
        m_context.rolloutEvidence.discard(attempt.number);
    m_context.endpointHealth.recordAttemptEnd(attempt.number, verdict, now);
    Placer &placer = m_context.placerFor(*record.service);
    if (verdict == EndpointVerdict::Succeeded)
        placer.recordAnswer(attempt.number, now);
    placer.recordAttemptEnd(attempt.number, now);
    m_context.admission.recordEnd(attempt.number, verdict == EndpointVerdict::Refused, now);
}

void AttemptLauncher::cancel(const RequestRecord &record, const RunningAttempt &attempt,
                             EndpointVerdict verdict, Instant now)
{
    // Whoever cancels it, the endpoint has not failed; it may only have been slow.
    m_context.rolloutEvidence.recordCancel(attempt.number, now);
    recordEnd(record, attempt, verdict, now);
    m_context.traffic.cancelAttempt(record.arrival.number, attempt.number);
}

void AttemptLauncher::startReplacement(RequestRecord &record, const Placement &placement,
                                       Instant now)
{
    for (RunningAttempt &attempt : record.runningAttempts) {
        record.avoidedEndpoints.insert(attempt.endpoint);
        // A run that is being moved may go on at the target of the move, beside the replacement.
        const bool isMoving = attempt.moveState != RunningAttempt::MoveState::None;
        attempt.keptUntil = std::min(attempt.keptUntil, isMoving ? now : now + replacedAttemptTime);
    }
    cancelReplaced(record, now);
    startAttempt(record, placement, now);
}

void AttemptLauncher::cancelReplaced(RequestRecord &record, Instant now)
{
    std::erase_if(record.runningAttempts, [&](const RunningAttempt &attempt) {
        if (attempt.keptUntil > now)
            return false;
        record.mayHaveRun = true;
        cancel(record, attempt, EndpointVerdict::Failed, now);
        return true;
    });
}

void AttemptLauncher::cancelAll(RequestRecord &record, EndpointVerdict verdict, Instant now)
{
    for (const RunningAttempt &attempt : std::exchange(record.runningAttempts, {}))
        cancel(record, attempt, verdict, now);
}

} // namespace monsoonsail
