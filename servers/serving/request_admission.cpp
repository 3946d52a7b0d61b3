#include "servers/serving/request_admission.h"

#include "core/hash.h"

#include <algorithm>
#include <cstdint>

namespace monsoonsail {

namespace {

/// A newer configuration, or the first one, normally arrives within this time.
constexpr Duration configurationRetryDelay = std::chrono::milliseconds(300);
/// By then the load balancer has noticed the stop and sends the caller to another instance.
constexpr Duration stoppingRetryDelay = std::chrono::milliseconds(200);
/// A request with less time left until its deadline cannot be answered in time.
constexpr Duration minRemainingTime = std::chrono::milliseconds(5);

/// Returns the amount that a request is charged against an allowance.
double requestCharge(const RequestArrival &arrival, const Allowance &allowance)
{
    if (!allowance.countsTokens)
        return 1;
    if (!arrival.promptTokens)
        return allowance.defaultTokens;
    return static_cast<double>(*arrival.promptTokens) + arrival.maxOutputTokens;
}

/// Chooses one of the services of the route by their weights: at random, but the same one for a
/// stream and for requests that take it up.
const Service *chooseService(const Route &route, const SiteConfiguration &configuration,
                             const RequestArrival &arrival, RandomSource &random)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.split)
        total += share.weight;
    if (total == 0)
        return nullptr;
    const std::string &stream =
            arrival.resumedRequest.empty() ? arrival.callerId : arrival.resumedRequest;
    std::uint64_t offset = stream.empty() ? random.integerBelow(total) : stableHash(stream) % total;
    for (const ServiceShare &share : route.split) {
        if (offset < share.weight)
            return configuration.findService(share.service);
        offset -= share.weight;
    }
    return nullptr;
}

/// Whether the request can be expected to be answered before the process ends.
bool isAnsweredInTime(const RequestRecord &record, const ServingContext &context, Instant now)
{
    if (record.deadline <= context.answersDueAt)
        return true;
    const auto time = context.answerTimes.expected(record.route->name);
    return time && now + *time <= context.answersDueAt;
}

} // namespace

AdmissionDecision admitRequest(RequestRecord &record, ServingContext &context, Instant now)
{
    if (context.refusesNewRequests)
        return {.error = ErrorKind::Stopping, .retryAt = now + stoppingRetryDelay};
    record.configuration = context.configuration;
    if (!record.configuration || context.isConfigurationOutdated(now))
        return {.error = ErrorKind::NotReady, .retryAt = now + configurationRetryDelay};
    const RequestArrival &arrival = record.arrival;
    // An old configuration may lack recent additions, so it does not justify a permanent refusal.
    const AdmissionDecision notReady{.error = ErrorKind::NotReady,
                                     .retryAt = now + configurationRetryDelay};
    const bool isFresh = context.isConfigurationFresh(now);
    record.route = record.configuration->findRoute(arrival.host, arrival.path);
    if (record.route == nullptr)
        return isFresh ? AdmissionDecision{.error = ErrorKind::NotFound} : notReady;
    if (!record.route->isPublic) {
        record.account = record.configuration->findAccount(arrival.apiKey);
        if (record.account == nullptr)
            return isFresh ? AdmissionDecision{.error = ErrorKind::Unauthenticated} : notReady;
    }
    record.deadline = arrival.arrivedAt + record.route->timeout;
    if (arrival.callerDeadline)
        record.deadline = std::min(record.deadline, *arrival.callerDeadline);
    if (record.deadline - now < minRemainingTime)
        return {.error = ErrorKind::Overloaded};
    if (!isAnsweredInTime(record, context, now))
        return {.error = ErrorKind::Stopping, .retryAt = now + stoppingRetryDelay};
    record.service = chooseService(*record.route, *record.configuration, arrival, context.random);
    if (record.service == nullptr)
        return {.error = ErrorKind::NoEndpoint, .retryAt = now + configurationRetryDelay};
    const auto refusal = context.promptQuarantine.admit(
            record.service->name, record.sharedPromptParts(), arrival.number, now);
    if (refusal) {
        const PartVerdict &verdict = refusal->verdict;
        context.log.write(LogLevel::Warning, "prompt-refused", arrival.callerId,
                          {{"part_hash", toLog(verdict.part)},
                           {"same_evidence", alternativeHashes(verdict)},
                           {"shared_parts", partNames(record.sharedPromptParts())},
                           {"crashes", toLog(verdict.crashes)},
                           {"conclusive_ends", toLog(refusal->evidence.conclusiveEnds)},
                           {"late_ends", toLog(refusal->evidence.lateEnds)},
                           {"last_crash_age_ms", toMs(now - verdict.lastCrashAt)},
                           {"held_ms", toMs(now - verdict.heldSince)},
                           {"retry_in_ms", toMs(refusal->retryAt - now)},
                           {"trial_in_ms", toMs(refusal->trialAt - now)}});
        return {.error = ErrorKind::PromptQuarantined, .retryAt = refusal->retryAt};
    }
    if (context.promptQuarantine.isTrial(arrival.number)) {
        context.log.write(LogLevel::Info, "prompt-trial", arrival.callerId,
                          {{"shared_parts", partNames(record.sharedPromptParts())}});
    }
    if (record.account != nullptr) {
        const double charge = requestCharge(arrival, record.account->allowance);
        const auto priority =
                record.isTakeUp() ? AdmissionPriority::Continued : AdmissionPriority::New;
        if (const auto retryAt = context.allowances.admit(record.account->name, charge, now,
                                                          priority, record.route->priority)) {
            const AllowanceState state = context.allowances.state(record.account->name, now);
            context.log.write(LogLevel::Warning, "allowance-exceeded", arrival.callerId,
                              {{"account", record.account->name.view()},
                               {"urgency", toLog(std::uint64_t{record.route->priority})},
                               {"charge", charge},
                               {"limit", state.limit},
                               {"used", state.used},
                               {"used_here", state.usedHere},
                               {"reserved", state.reserved},
                               {"young", state.isWarmingUp}});
            context.metrics.recordAdmissionRefusal("allowance", record.route->priority);
            return {.error = ErrorKind::ShareExceeded, .retryAt = retryAt};
        }
        record.charge = charge;
    }
    return {};
}

} // namespace monsoonsail
