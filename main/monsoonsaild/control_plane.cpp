#include "main/monsoonsaild/control_plane.h"

#include "core/hash.h"
#include "servers/placement/least_load_placer.h"

#include <algorithm>
#include <memory>
#include <string>

namespace monsoonsail {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// A change of the configuration wakes its read at once; a read that waits longer would find out
/// too late that its connection has gone silent (a version is in force within 2 s).
constexpr TopicFollower::Pace configurationPace{.wait = std::chrono::milliseconds(1000),
                                                .interval = std::chrono::milliseconds(50)};
/// Endpoints write about once a second each, so an immediate answer to every write would cost a
/// call for each. Half of a second is a quarter of the time in which a leaving endpoint must be
/// left alone.
constexpr TopicFollower::Pace endpointPace{.wait = std::chrono::milliseconds(1000),
                                           .interval = std::chrono::milliseconds(500)};
constexpr Duration tickInterval = std::chrono::milliseconds(100);

/// The balancer takes a daemon out after two missed checks, one a second.
constexpr Duration balancerNotices = std::chrono::milliseconds(2500);
/// Time before the platform kills the process that is kept to end in order.
constexpr Duration stopReserve = std::chrono::milliseconds(300);

} // namespace

ControlPlane::ControlPlane(const ServingSettings &settings, EventLoop &loop, TrafficPort &traffic,
                           LogWriter &logs, const std::string &incarnation)
    : m_settings(settings)
    , m_loop(loop)
    , m_logs(logs)
    , m_log(logs, loop.clock(), settings.instance, incarnation)
    , m_context{.limits = settings.limits,
                .traffic = traffic,
                .log = m_log,
                .placer = std::make_unique<LeastLoadPlacer>(),
                .random = RandomSource(stableHash(incarnation))}
    , m_core(m_context)
    , m_http(loop)
    , m_store(m_http, loop.clock(), settings.storeAddress)
    , m_configurationFeed(m_context, m_codec)
    , m_endpointFeed(m_context, m_codec)
    , m_configurationFollower(std::string(m_codec.configurationTopic()), configurationPace, m_store,
                              m_configurationFeed, scheduler(), m_log)
    , m_endpointFollower(std::string(m_codec.endpointTopic()), endpointPace, m_store,
                         m_endpointFeed, scheduler(), m_log)
{ }

ControlPlane::~ControlPlane()
{
    m_loop.timers().cancel(m_timer);
    m_loop.timers().cancel(m_tickTimer);
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
    m_log.write(LogLevel::Info, "started", {},
                {{"zone", m_settings.zone}, {"callers", m_settings.callerListen}});
    m_readyServer.emplace(m_loop, m_settings.readyListen,
                          [this](const RequestHead &head, std::string_view /*body*/) {
                              return answer(head);
                          });
    m_configurationFollower.start();
    m_endpointFollower.start();
    tick();
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
}

void ControlPlane::arrived(const RequestArrival &request)
{
    m_core.arrived(request, m_loop.now());
    armTimer();
}

void ControlPlane::callerGone(RequestNumber request)
{
    m_core.callerGone(request, m_loop.now());
}

void ControlPlane::progressed(std::span<const StreamProgress> streams)
{
    m_core.progressed(streams, m_loop.now());
}

void ControlPlane::ended(const AttemptEnd &end)
{
    m_core.ended(end, m_loop.now());
    armTimer();
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
    m_core.expire(m_loop.now());
    armTimer();
}

void ControlPlane::tick()
{
    m_tickTimer = m_loop.timers().schedule(m_loop.now() + tickInterval, [this] { tick(); });
    m_log.reportDropped();
    m_logs.flush();
    checkStop();
}

void ControlPlane::checkStop()
{
    if (!m_stopping)
        return;
    const Instant now = m_loop.now();
    const bool noticed = now >= m_stopRequestedAt + balancerNotices;
    const bool outOfTime = now >= m_stopRequestedAt + m_settings.stopGrace - stopReserve;
    if (outOfTime)
        m_context.refusesNew = true;
    if (!outOfTime && (!noticed || !m_core.isIdle()))
        return;
    m_log.write(LogLevel::Info, "stopped", {},
                {{"requests", static_cast<std::int64_t>(m_core.requestCount())}});
    m_logs.flush();
    m_loop.stop();
}

} // namespace monsoonsail
