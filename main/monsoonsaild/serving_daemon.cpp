#include "main/monsoonsaild/serving_daemon.h"

#include <csignal>

namespace monsoonsail {

ServingDaemon::ServingDaemon(const ServingSettings &settings, const std::string &incarnation,
                             LogWriter &logs)
    : m_controlLoop(m_clock)
    , m_trafficLoop(m_clock)
    , m_toTraffic(m_trafficLoop, m_traffic)
    , m_control(settings, m_controlLoop, m_toTraffic, logs, incarnation)
    , m_toControl(m_controlLoop, m_control)
    , m_traffic(m_trafficLoop, m_codec, m_toControl)
    , m_signals(m_controlLoop, {SIGTERM, SIGINT}, [this](int) { m_control.requestStop(); })
{
    m_traffic.listen(settings.callerListen);
}

ServingDaemon::~ServingDaemon()
{
    m_trafficLoop.stop();
}

void ServingDaemon::run()
{
    m_control.start();
    m_trafficThread = std::jthread([this] { m_trafficLoop.run(); });
    m_controlLoop.run();
    m_trafficLoop.stop();
    m_trafficThread.join();
}

} // namespace monsoonsail
