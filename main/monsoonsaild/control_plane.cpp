#include "main/monsoonsaild/control_plane.h"

#include "main/monsoonsaild/metrics_page.h"
#include "main/monsoonsaild/rollout_traffic_view.h"
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

/// A change of the configuration completes a waiting read at once. The wait is short because a read
/// whose connection has gone silent only fails at its end, and a new version of the configuration
/// has to be in force within 2 s.
constexpr TopicFollower::Timing configurationTiming{.longPollTime = std::chrono::milliseconds(800),
                                                    .minInterval = std::chrono::milliseconds(50),
                                                    .passiveInterval =
                                                            EndpointExchange::passiveInterval};
constexpr Duration tickInterval = std::chrono::milliseconds(100);
/// Time from the end of a window until its counts are summed up. By then those of the other
/// instances should have been stored, or received in digests.
constexpr Duration usageSettleDelay = std::chrono::milliseconds(1000);

/// The balancer removes a daemon after two failed checks, which it makes once a second. Requests
/// that arrive later, on persistent connections, are refused, so that running ones can end before
/// the process is killed.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds(2500);
/// The last steps of a stop, counted back from the end of the grace, when the platform kills the
/// process. First the requests end whose answers have not begun, then streams are cut and the
/// connections of callers close, and then the process ends, even if a caller does not read.
constexpr Duration lastAnswersReserve = std::chrono::milliseconds(700);
constexpr Duration closeReserve = std::chrono::milliseconds(400);
constexpr Duration exitReserve = std::chrono::milliseconds(150);

} // namespace

ControlPlane::ControlPlane(const ServingSettings &settings, EventLoop &loop, TrafficPort &traffic,
                           LogWriter &logWriter, const std::string &incarnation,
                           CallerFaults &callerFaults)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_loop(loop)
    , m_logWriter(logWriter)
    , m_decisionLog(logWriter, loop.clock(), settings.instance, incarnation)
    , m_context(settings.limits, ZoneId(settings.zone), incarnation, traffic, m_decisionLog,
                m_metrics)
    , m_core(m_context)
    , m_httpClient(loop)
    , m_storeClient(m_httpClient, loop, settings.storeAddress, m_metrics, m_decisionLog)
    , m_configurationFeed(m_context, m_siteCodec)
    , m_rolloutOrders(m_siteCodec, m_decisionLog)
    , m_operatorRecords({&m_configurationFeed, &m_rolloutOrders})
    , m_configurationFollower(std::string(m_siteCodec.configurationTopic()), configurationTiming,
                              m_storeClient, m_operatorRecords, makeScheduler(), m_decisionLog)
    , m_configurationKeeper(m_context, m_configurationFeed, m_storeClient,
                            [this] { return m_loop.now(); })
    , m_configurationClient(m_httpClient)
    , m_configurationFetcher(settings.instance, m_context, m_configurationFeed,
                             m_configurationClient, [this] { return m_loop.now(); })
    , m_mesh(settings.instance, settings.digestListen)
    , m_meshSocket(loop, settings.digestListen, *this)
    , m_endpointExchange(settings.instance, m_context, m_siteCodec, m_storeClient, m_mesh,
                         m_meshSocket, makeScheduler())
    , m_versionDirectory(
              settings.instance, m_context.endpoints, m_storeClient,
              [this] { return m_loop.now(); }, m_decisionLog)
    , m_instanceDiscovery(settings.instance, settings.digestListen, m_storeClient, m_mesh,
                          [this] { return m_loop.now(); })
    , m_dutyClient(m_httpClient, loop.clock(), settings.dutyAddress, settings.instance, m_metrics)
    , m_dutyElection(
              {.instance = settings.instance, .incarnation = incarnation},
              {.lease = settings.limits.dutyLease,
               .platformChecksFencing = settings.limits.fencingNumbersAreChecked},
              m_storeClient, [this] { return m_loop.now(); }, m_decisionLog)
    , m_usageReporter(
              incarnation,
              {.settleDelay = usageSettleDelay,
               .reportDeadline = settings.limits.usageReportDeadline},
              m_context.usageMeter, m_storeClient, m_dutyClient, [this] { return m_loop.now(); },
              [this] { return m_dutyElection.fencingNumber(); },
              [this] { m_dutyElection.onFenced(); }, m_decisionLog)
    , m_fleetManager(
              std::make_unique<SpreadFleetPlanner>(), m_context.endpoints, m_dutyClient,
              [this] { return m_loop.now(); }, [this] { m_dutyElection.onFenced(); }, m_decisionLog)
    , m_rolloutView(makeRolloutTrafficView(m_context))
    , m_rolloutVersions(*m_rolloutView)
    , m_rolloutDecider(settings.instance)
    , m_rolloutController(makeRolloutPorts())
    , m_allowanceJournal(
              m_context.allowances, m_storeClient, [this] { return m_loop.now(); }, m_decisionLog)
    , m_callerFaults(callerFaults)
    , m_callerFaultReport(callerFaults, m_decisionLog, m_metrics)
{
    m_mesh.setMaxDigestBytes(settings.digestMemoryBytes);
}

ControlPlane::~ControlPlane()
{
    m_loop.timers().cancel(m_deadlineTimer);
    m_loop.timers().cancel(m_tickTimer);
    m_loop.timers().cancel(m_digestTimer);
    for (TimerQueue::Handle &timer : m_stopTimers)
        m_loop.timers().cancel(timer);
}

TopicFollower::Scheduler ControlPlane::makeScheduler()
{
    return {.now = [this] { return m_loop.now(); },
            .at =
                    [this](Instant instant, std::function<void()> task) {
                        m_loop.timers().schedule(instant, std::move(task));
                    }};
}

void ControlPlane::start()
{
    m_context.streamVersions = &m_versionDirectory;
    m_context.promptQuarantine.setTurnChooser(
            [this](std::uint64_t seed, unsigned count, Instant now) {
                return m_mesh.isAmongChosen(seed, count, now);
            });
    m_context.promptQuarantine.setNewsHandler([this] { sendDigest(); });
    m_context.rolloutTraffic.setNewsHandler([this] { sendDigest(); });
    m_decisionLog.write(LogLevel::Info, "started", {},
                        {{"zone", m_settings.zone}, {"callers", m_settings.callerListen}});
    m_readyServer.emplace(m_loop, m_settings.readyListen, localLimits(), m_callerFaults,
                          [this](const RequestHead &head, std::string_view /*body*/) {
                              return answerReadiness(head);
                          });
    startPeerServer();
    if (!m_settings.metricsListen.empty()) {
        m_metricsServer.emplace(m_loop, m_settings.metricsListen, localLimits(), m_callerFaults,
                                [this](const RequestHead &head, std::string_view /*body*/) {
                                    return answerMetrics(head);
                                });
    }
    m_core.setDeadlineHandler([this] { armDeadlineTimer(); });
    m_configurationFeed.setNewsHandler([this] { sendDigest(); });
    m_allowanceJournal.recover();
    m_configurationFollower.start();
    m_endpointExchange.start();
    for (const std::string &address : m_settings.peerAddresses)
        m_mesh.addCandidate(address, m_loop.now());
    tick();
    sendDigest();
}

void ControlPlane::requestStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopRequestedAt = m_loop.now();
    m_decisionLog.write(LogLevel::Info, "stopping", {},
                        {{"requests", static_cast<std::int64_t>(m_core.requestCount())}});
    m_context.traffic.beginStop();
    m_dutyElection.release();
    const Instant end = m_stopRequestedAt + m_settings.stopGrace;
    m_context.answersDueAt = end - lastAnswersReserve;
    TimerQueue &timers = m_loop.timers();
    m_stopTimers = {timers.schedule(end - lastAnswersReserve,
                                    [this] { m_core.endWaitingRequests(m_loop.now()); }),
                    timers.schedule(end - closeReserve, [this] { closeCallers(); }),
                    timers.schedule(end - exitReserve, [this] { finishStop(); })};
}

void ControlPlane::applySettings(const ServingSettings &settings)
{
    m_settings = settings;
    m_context.limits = settings.limits;
    m_context.applyRolloutLimits();
    m_endpointExchange.applyLimits();
    m_context.repeatBudget.setLimit(settings.limits.repeats);
    m_context.allowances.setRules(settings.limits.allowances);
    if (m_context.configuration)
        m_context.allowances.configure(m_context.configuration->accounts(), m_loop.now());
    m_storeClient.setAddress(settings.storeAddress);
    m_dutyClient.setAddress(settings.dutyAddress);
    for (const std::string &address : settings.peerAddresses)
        m_mesh.addCandidate(address, m_loop.now());
    m_decisionLog.write(LogLevel::Info, "settings-applied", {}, {{"store", settings.storeAddress}});
}

void ControlPlane::onRequestArrived(const RequestArrival &request)
{
    m_core.handleArrival(request, m_loop.now());
}

void ControlPlane::onCallerDisconnected(RequestNumber request)
{
    m_core.handleCallerDisconnect(request, m_loop.now());
}

void ControlPlane::onStreamsProgressed(std::span<const StreamProgress> streams)
{
    m_core.handleProgress(streams, m_loop.now());
    m_versionDirectory.writeDue();
}

void ControlPlane::onAttemptEnded(const AttemptEnd &end)
{
    m_core.handleAttemptEnd(end, m_loop.now());
}

void ControlPlane::onRunMoveEnded(const RunMoveEnd &end)
{
    m_core.handleMoveEnd(end, m_loop.now());
}

void ControlPlane::onEndpointChecked(const EndpointCheckEnd &end)
{
    m_core.handleEndpointCheckEnd(end, m_loop.now());
}

void ControlPlane::onEndpointLimitReported(const EndpointLimitReport &report)
{
    if (!report.isInvalid && !m_context.endpointLimits.record(report))
        return;
    m_decisionLog.write(report.isInvalid ? LogLevel::Warning : LogLevel::Info, "endpoint-limit", {},
                        {{"endpoint", report.endpoint.view()},
                         {"limited", report.requestsPerSecond.has_value()},
                         {"per_second", report.requestsPerSecond.value_or(0)},
                         {"readable", !report.isInvalid}});
}

void ControlPlane::onEndpointLeaving(const EndpointId &endpoint)
{
    m_core.handleEndpointLeaving(endpoint, m_loop.now());
    m_endpointExchange.publish(endpoint, m_loop.now());
}

LocalServer::Response ControlPlane::answerReadiness(const RequestHead &head) const
{
    if (head.target == "/readyz") {
        const bool ready = isReady();
        return {.status = ready ? statusOk : statusUnavailable,
                .body = ready ? "ready\n" : "not ready\n"};
    }
    return {.status = statusNotFound, .body = "not found\n"};
}

LocalServer::Response ControlPlane::answerMetrics(const RequestHead &head)
{
    if (head.target != "/metrics")
        return {.status = statusNotFound, .body = "not found\n"};
    return {.contentType = "text/plain; version=0.0.4",
            .body = metricsPage(m_metrics, m_context, m_core, m_mesh, m_meshSocket,
                                m_endpointExchange, m_loop.now())};
}

bool ControlPlane::isReady() const
{
    return m_context.configuration != nullptr && !m_context.isConfigurationOutdated(m_loop.now())
            && m_endpointExchange.hasReadList() && m_versionDirectory.isSettled() && !m_isStopping;
}

void ControlPlane::armDeadlineTimer()
{
    const auto deadline = m_core.nextDeadline();
    if (m_deadlineTimer.number != 0 && deadline && m_deadlineTimer.at <= *deadline)
        return;
    m_loop.timers().cancel(m_deadlineTimer);
    if (deadline)
        m_deadlineTimer = m_loop.timers().schedule(*deadline, [this] { expireDeadlines(); });
}

void ControlPlane::expireDeadlines()
{
    m_deadlineTimer = {};
    m_core.handleDueRequests(m_loop.now());
    armDeadlineTimer();
}

void ControlPlane::tick()
{
    const Instant now = m_loop.now();
    if (m_tickTimer.number != 0)
        m_metrics.recordLoopDelay(now - m_tickTimer.at);
    m_tickTimer = m_loop.timers().schedule(now + tickInterval, [this] { tick(); });
    if (m_pauseDetector.detectPause(now)) {
        // Endpoints may have ended meanwhile, and digests arrive only four times a second.
        m_decisionLog.write(LogLevel::Info, "slept", {}, {});
        m_endpointExchange.refresh();
        m_configurationFollower.refresh();
    }
    m_core.checkSilentEndpoints(now);
    m_core.restartLateStreams(now);
    m_core.evacuateLeavingEndpoints(now);
    m_mesh.expire(now);
    m_context.promptQuarantine.expire(now);
    m_context.rolloutTraffic.observe(m_context.endpoints, now);
    updateEndpointLimits();
    m_context.repeatBudget.setInstanceCount(m_mesh.instanceCount());
    m_context.allowances.updateReservations(m_mesh, now);
    m_context.usageMeter.setClockCorrection(m_mesh.clockCorrection());
    const bool wasReader = m_endpointExchange.isReader();
    m_endpointExchange.advance(now);
    // The instances that come next by rank wait only briefly for news of a new reader.
    if (m_endpointExchange.isReader() && !wasReader)
        sendDigest();
    if (m_endpointExchange.hasReadList())
        m_versionDirectory.advance(m_endpointExchange.isReader(), m_mesh.clockCorrection(),
                                   m_mesh.instanceCount());
    updateConfigurationReading();
    m_instanceDiscovery.advance();
    m_dutyElection.advance(m_mesh);
    m_usageReporter.advance(m_mesh);
    advanceRollouts();
    manageFleet();
    // Readers write the journal, since they are known within a second of a start, whereas the
    // election of the holder of the duties takes seconds.
    m_allowanceJournal.advance(m_endpointExchange.isReader(), m_mesh.clockCorrection());
    m_callerFaultReport.advance(now);
    m_decisionLog.reportDropped();
    m_logWriter.flush();
    checkStop();
}

void ControlPlane::updateConfigurationReading()
{
    const bool isReader = m_endpointExchange.isReader();
    m_configurationFollower.setActive(isReader || needsOrders());
    m_configurationFollower.setPassiveInterval(
            m_mesh.scaledInterval(EndpointExchange::passiveInterval));
    m_configurationFeed.updateFromPeers(m_mesh, isReader, m_loop.now());
    m_configurationKeeper.advance(isReader);
    m_configurationFetcher.advance(m_mesh);
}

void ControlPlane::checkStop()
{
    if (!m_isStopping || m_loop.now() < m_stopRequestedAt + balancerDetectionTime)
        return;
    m_context.refusesNewRequests = true;
    if (m_core.isIdle())
        closeCallers();
}

void ControlPlane::closeCallers()
{
    if (std::exchange(m_isClosingCallers, true))
        return;
    m_context.refusesNewRequests = true;
    m_decisionLog.write(LogLevel::Info, "stopped", {},
                        {{"requests", static_cast<std::int64_t>(m_core.requestCount())}});
    m_core.endAllRequests(m_loop.now());
    m_usageReporter.flush();
    sendDigest();
    m_context.traffic.closeCallers();
}

void ControlPlane::onCallersClosed()
{
    finishStop();
}

void ControlPlane::finishStop()
{
    m_logWriter.flush();
    m_loop.stop();
}

} // namespace monsoonsail
