#include "main/monsoonsaild/serving_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace monsoonsail {

namespace {
/// Part of the process's memory that responses in progress may hold, and once more those that
/// callers have not read. Buffers that grow need up to three times the bytes that they hold.
constexpr std::size_t responseMemoryDivisor = 8;
/// Part of the process's memory that requests may hold.
constexpr std::size_t requestMemoryDivisor = 8;
/// Part of the process's descriptors that connections of callers may use. Each of them may need one
/// to an endpoint, and some need two.
constexpr std::size_t callerDescriptorDivisor = 3;

std::size_t descriptorLimit(const ServingSettings &settings)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return settings.maxDescriptors;
    if (settings.maxDescriptors == 0)
        return limit.rlim_cur;
    return std::min<std::size_t>(limit.rlim_cur, settings.maxDescriptors);
}

CallerLimits callerLimits(const ServingSettings &settings)
{
    const CallerSettings &callers = settings.callers;
    const auto orDefault = [](std::size_t value, std::size_t fallback) {
        return value > 0 ? value : std::max<std::size_t>(fallback, 1);
    };
    return {.maxConnections = orDefault(callers.maxConnections,
                                        descriptorLimit(settings) / callerDescriptorDivisor),
            .maxRequestBytes =
                    orDefault(callers.requestBytes, settings.memoryBytes / requestMemoryDivisor),
            .maxUnreadBytes =
                    orDefault(callers.unreadBytes, settings.memoryBytes / responseMemoryDivisor),
            .requestTime = callers.requestTime};
}
} // namespace

ServingDaemon::ServingDaemon(const ServingSettings &settings, const std::string &incarnation,
                             LogWriter &logWriter,
                             std::function<std::optional<ServingSettings>()> reload)
    : m_reload(std::move(reload))
    , m_controlLoop(m_clock)
    , m_trafficLoop(m_clock)
    , m_trafficMailbox(m_trafficLoop, m_trafficRelay)
    , m_controlPlane(settings, m_controlLoop, m_trafficMailbox, logWriter, incarnation,
                     m_callerFaults)
    , m_controlMailbox(m_controlLoop, m_controlPlane)
    , m_trafficRelay(m_trafficLoop, m_httpCodec, m_controlMailbox,
                     settings.memoryBytes / responseMemoryDivisor, callerLimits(settings),
                     m_callerFaults)
    , m_signalWatcher(m_controlLoop, {SIGTERM, SIGINT, SIGHUP},
                      [this](int signal) { handleSignal(signal); })
{
    m_trafficRelay.listen(settings.callerListen);
}

ServingDaemon::~ServingDaemon()
{
    m_trafficLoop.stop();
}

void ServingDaemon::handleSignal(int signal)
{
    if (signal != SIGHUP) {
        m_controlPlane.requestStop();
        return;
    }
    if (const auto settings = m_reload())
        m_controlPlane.applySettings(*settings);
}

void ServingDaemon::run()
{
    m_controlPlane.start();
    m_trafficThread = std::jthread([this] { m_trafficLoop.run(); });
    m_controlLoop.run();
    m_trafficLoop.stop();
    m_trafficThread.join();
}

} // namespace monsoonsail
