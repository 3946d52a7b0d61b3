#include "tests/servers/serving_bench.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace monsoonsail {

namespace {

constexpr Duration step = std::chrono::milliseconds(20);

ServingLimits limits()
{
    return {.repeats = {.ratio = 0.2, .slack = 50, .window = std::chrono::seconds(10)}};
}

Route route(const std::string &path, RequestKind kind, bool isResumable, const std::string &service,
            unsigned attempts)
{
    return {.name = path,
            .host = "site.example",
            .pathPrefix = path,
            .kind = kind,
            .isResumable = isResumable,
            .split = {{.service = ServiceId(service)}},
            .maxAttempts = attempts,
            .timeout = std::chrono::seconds(5),
            .responseGoal = std::chrono::milliseconds(100),
            .pauseGoal = std::chrono::milliseconds(600)};
}

std::vector<Route> routes()
{
    return {route("/review/", RequestKind::Streaming, true, "model", 2),
            route("/plan/", RequestKind::Streaming, false, "model", 1),
            route("/book/", RequestKind::Unsafe, false, "desk", 1),
            route("/look/", RequestKind::Safe, false, "desk", 2)};
}

std::vector<Service> services()
{
    return {{.name = ServiceId("model"),
             .engine = EngineFeatures{.batchSlots = 8, .canMoveRuns = true}},
            {.name = ServiceId("desk")}};
}

} // namespace

ServingBench::ServingBench()
    : context(limits(), ZoneId("zvolen"), "entry.1", traffic, log, metrics)
    , core(context)
{
    publish({account(0, 0)}, 1);
    for (const std::string number : {"0", "1", "2", "3"}) {
        list("e" + number, "model");
        list("s" + number, "desk");
    }
}

Account ServingBench::account(double perSecond, double burst)
{
    return {.name = AccountId("club"),
            .apiKeys = {"key"},
            .allowance = {.perSecond = perSecond, .burst = burst}};
}

void ServingBench::publish(std::vector<Account> accounts, Revision revision)
{
    context.configuration = std::make_shared<const SiteConfiguration>(
            revision, routes(), services(), std::move(accounts), ConnectionLimits());
    context.configurationAsOf = now;
    context.allowances.configure(context.configuration->accounts(), now);
}

void ServingBench::list(const std::string &instance, const std::string &service, bool isLeaving,
                        std::optional<Duration> leavesIn)
{
    EndpointListing listing{.instance = instance,
                            .startedMs = 1,
                            .sequence = ++m_sequence,
                            .service = ServiceId(service),
                            .address = "10.0.0.1:80",
                            .zone = ZoneId("zvolen"),
                            .slots = 8,
                            .isLeaving = isLeaving,
                            .isReclaimable = leavesIn.has_value()};
    if (leavesIn)
        listing.leavesAt = now + *leavesIn;
    context.endpoints.applyListing(listing, now);
}

RequestNumber ServingBench::arrive(const std::string &path, const std::string &key)
{
    const RequestNumber number = ++m_lastRequest;
    context.configurationAsOf = std::max(context.configurationAsOf, now - step);
    core.handleArrival({.number = number,
                        .callerId = "r" + std::to_string(number),
                        .method = "POST",
                        .host = "site.example",
                        .path = path,
                        .apiKey = key,
                        .callerDeadline = now + std::chrono::seconds(4),
                        .promptTokens = 1000,
                        .maxOutputTokens = 100,
                        .arrivedAt = now},
                       now);
    return number;
}

const AttemptStart &ServingBench::newest(RequestNumber request) const
{
    const auto start = std::find_if(
            traffic.starts.rbegin(), traffic.starts.rend(),
            [request](const AttemptStart &attempt) { return attempt.request == request; });
    if (start == traffic.starts.rend())
        throw std::logic_error("the request has no attempt");
    return *start;
}

void ServingBench::end(RequestNumber request, AttemptResult result, int status)
{
    core.handleAttemptEnd({.request = request,
                           .attempt = newest(request).attempt,
                           .result = result,
                           .status = status,
                           .sentAt = now},
                          now);
}

void ServingBench::progress(RequestNumber request, std::uint32_t events, EventId lastEvent)
{
    const StreamProgress progress{.request = request,
                                  .attempt = newest(request).attempt,
                                  .events = events,
                                  .lastEvent = lastEvent,
                                  .firstEventAt = now,
                                  .lastEventAt = now};
    core.handleProgress({&progress, 1}, now);
}

void ServingBench::advance(Duration duration)
{
    const Instant end = now + duration;
    while (now < end) {
        now = std::min(now + step, end);
        core.handleDueRequests(now);
        core.restartStreamsOnSilentEndpoints(now);
        core.evacuateLeavingEndpoints(now);
    }
}

ErrorKind ServingBench::lastRefusal() const
{
    return traffic.refusals.empty() ? ErrorKind::None : traffic.refusals.back().kind;
}

} // namespace monsoonsail
