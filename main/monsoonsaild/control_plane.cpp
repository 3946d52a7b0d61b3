#include "main/monsoonsaild/control_plane.h"

#include "main/monsoonsaild/metrics_page.h"
#include "servers/endpoints/endpoint_news.h"
#include "servers/fleet/spread_fleet_planner.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace monsoonsail {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Instances that do not read the store for the others look whether they have missed something.
constexpr Duration passiveInterval = std::chrono::seconds(10);
/// A change of the configuration wakes its read at once; a read that waits longer would find out
/// too late that its connection has gone silent (a version is in force within 2 s).
constexpr TopicFollower::Pace configurationPace{.wait = std::chrono::milliseconds(1000),
                                                .interval = std::chrono::milliseconds(50),
                                                .passiveInterval = passiveInterval};
/// Endpoints write about once a second each, so an immediate answer to every write would cost a
/// call for each. Some endpoints leave 1.5 s after they say so, and their runs have to be moved.
constexpr TopicFollower::Pace endpointPace{.wait = std::chrono::milliseconds(1000),
                                           .interval = std::chrono::milliseconds(200),
                                           .passiveInterval = passiveInterval};
constexpr Duration tickInterval = std::chrono::milliseconds(100);
/// Counts of a window are summed up when those of the other instances should be stored.
constexpr Duration usageSettle = std::chrono::milliseconds(1000);

/// The balancer takes a daemon out after two missed checks, one a second. Requests that come later
/// on kept connections are refused, so that those that run can end before the process is killed.
constexpr Duration balancerNotices = std::chrono::milliseconds(2500);
/// Time before the platform kills the process that is kept to end in order.
constexpr Duration stopReserve = std::chrono::milliseconds(300);

} // namespace

ControlPlane::ControlPlane(const ServingSettings &settings, EventLoop &loop, TrafficPort &traffic,
                           LogWriter &logs, const std::string &incarnation)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_loop(loop)
    , m_logs(logs)
    , m_log(logs, loop.clock(), settings.instance, incarnation)
    , m_context(settings.limits, ZoneId(settings.zone), incarnation, traffic, m_log, m_metrics)
    , m_core(m_context)
    , m_http(loop)
    , m_store(m_http, loop.clock(), settings.storeAddress, m_metrics)
    , m_configurationFeed(m_context, m_codec)
    , m_endpointFeed(m_context, m_codec)
    , m_configurationFollower(std::string(m_codec.configurationTopic()), configurationPace, m_store,
                              m_configurationFeed, scheduler(), m_log)
    , m_endpointFollower(std::string(m_codec.endpointTopic()), endpointPace, m_store,
                         m_endpointFeed, scheduler(), m_log)
    , m_mesh(settings.instance, settings.digestListen)
    , m_socket(loop, settings.digestListen, *this)
    , m_presence(settings.instance, settings.digestListen, m_store, m_mesh,
                 [this] { return m_loop.now(); })
    , m_readerRole(settings.instance, settings.limits.drainTime)
    , m_duties(m_http, loop.clock(), settings.dutyAddress, settings.instance, m_metrics)
    , m_keeper(
              {.instance = settings.instance, .incarnation = incarnation},
              {.lease = settings.limits.dutyLease,
               .numbersAreChecked = settings.limits.fencingNumbersAreChecked},
              m_store, [this] { return m_loop.now(); }, m_log)
    , m_usage(
              incarnation, {.settle = usageSettle, .due = settings.limits.usageReportDelay},
              m_context.usageMeter, m_store, m_duties, [this] { return m_loop.now(); },
              [this] { m_keeper.fenced(); }, m_log)
    , m_fleet(
              std::make_unique<SpreadFleetPlanner>(), m_context.endpoints, m_duties,
              [this] { return m_loop.now(); }, [this] { m_keeper.fenced(); }, m_log)
    , m_allowanceJournal(
              m_context.allowances, m_store, [this] { return m_loop.now(); }, m_log)
{ }

ControlPlane::~ControlPlane()
{
    m_loop.timers().cancel(m_timer);
    m_loop.timers().cancel(m_tickTimer);
    m_loop.timers().cancel(m_digestTimer);
}

TopicFollower::Scheduler ControlPlane::scheduler()
{
    return {.now = [this] { return m_loop.now(); },
            .at =
                    [this](Instant instant, std::function<void()> task) {
                        m_loop.timers().schedule(instant, std::move(task));
                    }};
}

void ControlPlane::start()
{
    m_endpointFeed.setNewsHandler([this] { sendNews(); });
    m_log.write(LogLevel::Info, "started", {},
                {{"zone", m_settings.zone}, {"callers", m_settings.callerListen}});
    m_readyServer.emplace(
            m_loop, m_settings.readyListen,
            [this](const RequestHead &head, std::string_view /*body*/) { return answer(head); });
    if (!m_settings.metricsListen.empty()) {
        m_metricsServer.emplace(m_loop, m_settings.metricsListen,
                                [this](const RequestHead &head, std::string_view /*body*/) {
                                    return answerMetrics(head);
                                });
    }
    m_allowanceJournal.recover();
    m_configurationFollower.start();
    m_endpointFollower.start();
    for (const std::string &address : m_settings.peerAddresses)
        m_mesh.learn(address, m_loop.now());
    tick();
    sendDigest();
}

void ControlPlane::requestStop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopRequestedAt = m_loop.now();
    m_log.write(LogLevel::Info, "stopping", {},
                {{"requests", static_cast<std::int64_t>(m_core.requestCount())}});
    m_context.traffic.beginStop();
    m_keeper.release();
}

void ControlPlane::apply(const ServingSettings &settings)
{
    m_settings = settings;
    m_context.limits = settings.limits;
    m_readerRole.setDrainTime(settings.limits.drainTime);
    m_context.repeatBudget.setLimit(settings.limits.repeats);
    m_context.allowances.setRules(settings.limits.allowances);
    if (m_context.configuration)
        m_context.allowances.configure(m_context.configuration->accounts(), m_loop.now());
    m_store.setAddress(settings.storeAddress);
    m_duties.setAddress(settings.dutyAddress);
    for (const std::string &address : settings.peerAddresses)
        m_mesh.learn(address, m_loop.now());
    m_log.write(LogLevel::Info, "settings-applied", {}, {{"store", settings.storeAddress}});
}

void ControlPlane::arrived(const RequestArrival &request)
{
    m_core.handleArrival(request, m_loop.now());
    armTimer();
}

void ControlPlane::callerGone(RequestNumber request)
{
    m_core.handleCallerDisconnect(request, m_loop.now());
}

void ControlPlane::progressed(std::span<const StreamProgress> streams)
{
    m_core.handleProgress(streams, m_loop.now());
}

void ControlPlane::ended(const AttemptEnd &end)
{
    m_core.handleAttemptEnd(end, m_loop.now());
    armTimer();
}

void ControlPlane::moved(const RunMoveEnd &end)
{
    m_core.handleMoveEnd(end, m_loop.now());
    armTimer();
}

void ControlPlane::endpointLeaves(const EndpointId &endpoint)
{
    m_core.handleEndpointLeaving(endpoint, m_loop.now());
    m_endpointFeed.newsDesk().add(endpoint);
    sendNews();
}

LocalServer::Answer ControlPlane::answer(const RequestHead &head) const
{
    if (head.target == "/readyz") {
        const bool ready = isReady();
        return {.status = ready ? statusOk : statusUnavailable,
                .body = ready ? "ready\n" : "not ready\n"};
    }
    return {.status = statusNotFound, .body = "not found\n"};
}

LocalServer::Answer ControlPlane::answerMetrics(const RequestHead &head)
{
    if (head.target != "/metrics")
        return {.status = statusNotFound, .body = "not found\n"};
    return {.contentType = "text/plain; version=0.0.4",
            .body = metricsPage(m_metrics, m_context, m_core, m_mesh, m_socket, m_loop.now())};
}

bool ControlPlane::isReady() const
{
    return m_context.configuration != nullptr && !m_stopping;
}

void ControlPlane::armTimer()
{
    const auto deadline = m_core.nextDeadline();
    if (m_timer.number != 0 && deadline && m_timer.at <= *deadline)
        return;
    m_loop.timers().cancel(m_timer);
    if (deadline)
        m_timer = m_loop.timers().schedule(*deadline, [this] { expire(); });
}

void ControlPlane::expire()
{
    m_timer = {};
    m_core.handleDueRequests(m_loop.now());
    armTimer();
}

void ControlPlane::tick()
{
    m_tickTimer = m_loop.timers().schedule(m_loop.now() + tickInterval, [this] { tick(); });
    const Instant now = m_loop.now();
    if (m_sleepWatch.hasSlept(now)) {
        // Endpoints may have left meanwhile, and digests come only four times a second.
        m_log.write(LogLevel::Info, "slept", {}, {});
        m_endpointFollower.refresh();
        m_configurationFollower.refresh();
    }
    m_core.restartStreamsOnSilentEndpoints(now);
    m_core.evacuateLeavingEndpoints(now);
    m_mesh.expire(now);
    m_context.repeatBudget.setInstanceCount(m_mesh.instanceCount());
    m_context.allowances.reserve(m_mesh, now);
    m_context.usageMeter.setClockCorrection(m_mesh.clockCorrection());
    shareReading();
    sendNews();
    m_presence.advance();
    m_keeper.advance(m_mesh);
    m_usage.advance(m_keeper.fencingNumber(), m_mesh);
    manageFleet();
    // The readers are settled within a second of a start; the holder of the duties takes seconds.
    m_allowanceJournal.advance(m_endpointFollower.isActive(), m_mesh.clockCorrection());
    m_log.reportDropped();
    m_logs.flush();
    checkStop();
}

void ControlPlane::manageFleet()
{
    if (!m_context.configuration)
        return;
    for (const Service &service : m_context.configuration->services()) {
        if (!service.engine)
            continue;
        double running = 0;
        for (const auto &[id, endpoint] : m_context.endpoints.all()) {
            if (endpoint.listing.service == service.name)
                running += m_context.enginePlacer->runningRequests(id);
        }
        m_context.workMeter.recordRunningRequests(service.name, running,
                                                  service.engine->batchSlots);
    }
    m_context.workMeter.measure(m_loop.now());
    m_fleet.advance(m_keeper.fencingNumber(), *m_context.configuration,
                    m_context.workMeter.enginesNeeded());
}

void ControlPlane::shareReading()
{
    const Instant now = m_loop.now();
    m_readerRole.advance(m_mesh, now);
    const bool isReader = m_readerRole.isReader();
    if (isReader != m_endpointFollower.isActive())
        m_log.write(LogLevel::Info, "reader-role", {}, {{"reader", isReader}});
    m_configurationFollower.setActive(isReader);
    m_endpointFollower.setActive(isReader);
    // Told by all, a change would cross the mesh as often as there are pairs of instances. An
    // instance that hears no reader reads the store itself.
    m_endpointFeed.setTellsNews(isReader);
    m_configurationFollower.setPassiveInterval(m_mesh.stretched(passiveInterval));
    m_endpointFollower.setPassiveInterval(m_mesh.stretched(passiveInterval));
    if (isReader)
        return;
    for (const auto &[name, peer] : m_mesh.peers()) {
        if (!Mesh::isLive(peer, now) || !peer.digest.isReader)
            continue;
        m_context.endpointsAsOf =
                std::max(m_context.endpointsAsOf, peer.heardAt - peer.digest.endpointsAge);
        const Revision own = m_context.configuration ? m_context.configuration->revision() : 0;
        if (peer.digest.revision == own) {
            m_context.configurationAsOf = std::max(m_context.configurationAsOf,
                                                   peer.heardAt - peer.digest.configurationAge);
        }
    }
}

void ControlPlane::checkStop()
{
    if (!m_stopping)
        return;
    const Instant now = m_loop.now();
    const bool noticed = now >= m_stopRequestedAt + balancerNotices;
    const bool outOfTime = now >= m_stopRequestedAt + m_settings.stopGrace - stopReserve;
    if (noticed)
        m_context.refusesNew = true;
    if (!outOfTime && (!noticed || !m_core.isIdle()))
        return;
    m_usage.flush();
    sendDigest();
    m_log.write(LogLevel::Info, "stopped", {},
                {{"requests", static_cast<std::int64_t>(m_core.requestCount())}});
    m_logs.flush();
    m_loop.stop();
}

} // namespace monsoonsail
