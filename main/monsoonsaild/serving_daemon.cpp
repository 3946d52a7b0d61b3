#include "main/monsoonsaild/serving_daemon.h"

#include <csignal>
#include <utility>

namespace monsoonsail {

namespace {
/// Part of the process's memory that responses in progress may hold, and once more those that
/// callers have not read. Buffers that grow need up to three times the bytes that they hold.
constexpr std::size_t responseMemoryDivisor = 8;
} // namespace

ServingDaemon::ServingDaemon(const ServingSettings &settings, const std::string &incarnation,
                             LogWriter &logWriter,
                             std::function<std::optional<ServingSettings>()> reload)
    : m_reload(std::move(reload))
    , m_controlLoop(m_clock)
    , m_trafficLoop(m_clock)
    , m_trafficMailbox(m_trafficLoop, m_trafficRelay)
    , m_controlPlane(settings, m_controlLoop, m_trafficMailbox, logWriter, incarnation)
    , m_controlMailbox(m_controlLoop, m_controlPlane)
    , m_trafficRelay(m_trafficLoop, m_httpCodec, m_controlMailbox,
                     settings.memoryBytes / responseMemoryDivisor)
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
