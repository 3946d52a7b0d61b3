#include "servers/admission/admission_control.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

constexpr Duration accountInterval = std::chrono::milliseconds(100);
constexpr Duration useInterval = std::chrono::milliseconds(50);
/// A goal that is nearly over counts as this long.
constexpr Duration minGoal = std::chrono::milliseconds(50);
/// With a free slot and a lateness below this, nothing is queued at the engine.
constexpr double idleLateness = 0.15;
/// Part of the capacity that is admitted, by the lateness: `lowLateness` and below, at
/// `targetLateness`, and at least. It falls slowly enough for figures that are half a second old.
constexpr double lowLateness = 0.4;
constexpr double targetLateness = 0.6;
constexpr double maxAdmittedFactor = 1.25;
constexpr double minAdmittedFactor = 0.3;
/// What others may have started without a report, as a multiple of the capacity, before it counts.
constexpr double unreportedMargin = 2;
/// Engines with free slots complete more when more is asked of them, by this factor at most.
constexpr double maxSpareFactor = 3;
constexpr double minRetrySeconds = 0.2;
constexpr double maxRetrySeconds = 3;

double admittedFactor(double lateness)
{
    constexpr double slope = (maxAdmittedFactor - 1) / (targetLateness - lowLateness);
    return std::clamp(1 - slope * (lateness - targetLateness), minAdmittedFactor,
                      maxAdmittedFactor);
}

} // namespace

bool AdmissionControl::needsAccounts(Instant now) const
{
    return m_ratesUpdatedAt + accountInterval <= now;
}

void AdmissionControl::updateAccounts(std::vector<AccountRate> rates, unsigned instances,
                                      Duration digestAge, bool missesPeers, Instant now)
{
    m_rates = std::move(rates);
    // Alone, an instance compares its own demand with what its own runs complete.
    m_instances = missesPeers ? 1 : std::max(1U, instances);
    m_missesPeers = missesPeers;
    m_digestAge = digestAge;
    m_ratesUpdatedAt = now;
}

bool AdmissionControl::needsUse(const ServiceId &service, Instant now) const
{
    const auto state = m_services.find(service);
    return state == m_services.end() || state->second.useUpdatedAt + useInterval <= now;
}

void AdmissionControl::updateUse(const ServiceId &service, const EngineUse &use, Instant now)
{
    ServiceState &state = m_services[service];
    state.use = use;
    state.throughput.recordRunning(use.running, now);
    state.useUpdatedAt = now;
}

std::optional<PlaceRefusal> AdmissionControl::refuse(const PlaceRequest &request, Instant now)
{
    ServiceState &service = m_services[request.service];
    const double goal = toSeconds(std::max(request.goalAt - now, minGoal));
    double predicted = std::max(0.0, toSeconds(request.expectedFirstEventAt - now)) / goal;
    // What the others have placed is then missing in the prediction.
    if (m_missesPeers) {
        predicted = std::max({predicted, waitingLateness(request, now),
                              service.pressure.observedLateness(request.urgency, now)});
    }
    const double unreported = unreportedSeconds(service, now) / goal;
    service.pressure.recordPrediction(request.urgency, predicted + unreported, now);
    // A surge that this instance sees itself reaches the others as well.
    service.pressure.update(!request.hasFreeSlot || unreported > 0, now);
    std::optional<PlaceRefusal> refusal = refuseLate(request, service, now);
    const bool isIdle = request.hasFreeSlot && predicted + unreported < idleLateness;
    if (!refusal && !isIdle && service.pressure.isShort(now))
        refusal = refuseByShare(request, service, now);
    m_offered.record(request, now);
    return refusal;
}

std::optional<PlaceRefusal> AdmissionControl::refuseLate(const PlaceRequest &request,
                                                         const ServiceState &service, Instant now)
{
    // Where the engines have been faster than predicted, they are taken to be so again.
    const double observed = service.pressure.observedPart(now);
    const bool isObserved = observed > 0 || !request.hasFreeSlot;
    const double wait =
            toSeconds(request.expectedFirstEventAt - now) * (observed > 0 ? observed : 1);
    const double excess = wait - toSeconds(request.deadline - now);
    if (excess <= 0 || !isObserved)
        return std::nullopt;
    return PlaceRefusal{.reason = PlaceRefusalReason::TooLate,
                        .retryAt = retryTime(excess, now),
                        .lateness = service.pressure.lateness(request.urgency, now)};
}

std::optional<PlaceRefusal> AdmissionControl::refuseByShare(const PlaceRequest &request,
                                                            const ServiceState &service,
                                                            Instant now)
{
    const double lateness = service.pressure.lateness(request.urgency, now);
    const double factor = admittedFactor(lateness);
    const auto capacity = service.throughput.costPerSecond(now);
    const std::vector<PlaceDemand> demands =
            m_offered.demands(request.service, m_rates, m_instances, now);
    double total = 0;
    for (const PlaceDemand &demand : demands)
        total += demand.costPerSecond;
    // Queues are drained at the cost of those that request more than their share.
    if (capacity && isWithinFairShare(demands, *capacity, request.account, request.urgency))
        return std::nullopt;
    const double admitted = capacity ? *capacity * factor : total * std::min(1.0, factor);
    const PlaceShare share = sharePlaces(demands, admitted, request.account, request.urgency);
    if (share.ofAccount >= 1 || m_random.fraction() < share.ofAccount)
        return std::nullopt;
    const bool isAboveOthers = share.ofAccount < share.ofUrgency;
    const double excess = admitted > 0 ? total / admitted - 1 : maxRetrySeconds;
    return PlaceRefusal{.reason = isAboveOthers ? PlaceRefusalReason::Fairness
                                                : PlaceRefusalReason::Urgency,
                        .retryAt = retryTime(excess, now),
                        .lateness = lateness,
                        .admittedFraction = share.ofAccount};
}

double AdmissionControl::waitingLateness(const PlaceRequest &request, Instant now) const
{
    double ages = 0;
    unsigned waiting = 0;
    for (const auto &[attempt, run] : m_runs) {
        if (run.hasEvents || run.urgency != request.urgency || run.service != request.service)
            continue;
        ages += toSeconds(now - run.startedAt) / toSeconds(run.goal);
        ++waiting;
    }
    // Those that wait have waited for half of their time, on average.
    return waiting > 0 ? 2 * ages / waiting : 0;
}

double AdmissionControl::unreportedSeconds(const ServiceState &service, Instant now) const
{
    const EngineUse &use = service.use;
    const auto completed = service.throughput.costPerSecond(now);
    if (!completed || *completed <= 0)
        return 0;
    const double spare = std::clamp(use.slots / use.running, 1.0, maxSpareFactor);
    const double started = service.throughput.startedPerSecond(now) * (m_instances - 1);
    const double excess = started / (*completed * spare) - unreportedMargin;
    return std::max(0.0, excess) * toSeconds(m_digestAge);
}

Instant AdmissionControl::retryTime(double seconds, Instant now)
{
    return now
            + fromSeconds(std::clamp(seconds, minRetrySeconds, maxRetrySeconds)
                          * (1 + m_random.fraction()));
}

void AdmissionControl::recordStart(AttemptNumber attempt, const PlaceRequest &request, Instant now)
{
    m_services[request.service].throughput.recordStart(attempt, request.cost, now);
    m_runs[attempt] = {.service = request.service,
                       .urgency = request.urgency,
                       .startedAt = now,
                       .expectedFirstEventAt = request.expectedFirstEventAt,
                       .goal = std::max(request.goalAt - now, minGoal)};
}

void AdmissionControl::recordFirstEvent(AttemptNumber attempt, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end() || std::exchange(entry->second.hasEvents, true))
        return;
    const Run &run = entry->second;
    const double goal = toSeconds(run.goal);
    m_services[run.service].pressure.recordFirstEvent(
            run.urgency, toSeconds(now - run.startedAt) / goal,
            toSeconds(run.expectedFirstEventAt - run.startedAt) / goal, now);
}

void AdmissionControl::recordEnd(AttemptNumber attempt, bool wasDeclined, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    ServiceState &service = m_services[entry->second.service];
    service.throughput.recordEnd(attempt, !wasDeclined, now);
    if (wasDeclined)
        service.pressure.recordDecline(now);
    m_runs.erase(entry);
}

} // namespace monsoonsail
