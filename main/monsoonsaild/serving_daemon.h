#pragma once

#include "drivers/control/control_mailbox.h"
#include "drivers/control/traffic_mailbox.h"
#include "drivers/loop/event_loop.h"
#include "drivers/loop/signal_watcher.h"
#include "drivers/settings/serving_settings.h"
#include "drivers/time/system_clock.h"
#include "drivers/traffic/traffic_relay.h"
#include "main/monsoonsaild/control_plane.h"
#include "platform/http_codec.h"

#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace monsoonsail {

/// One entry daemon on the users' platform: a control thread and a traffic thread.
class ServingDaemon
{
public:
    /// Throws std::system_error if an address can't be bound. `logs` must outlive the daemon.
    /// `reload` reads the settings again, or returns nothing if they are faulty.
    ServingDaemon(const ServingSettings &settings, const std::string &incarnation,
                  LogWriter &logWriter, std::function<std::optional<ServingSettings>()> reload);
    ~ServingDaemon();
    ServingDaemon(const ServingDaemon &) = delete;
    ServingDaemon &operator=(const ServingDaemon &) = delete;

    /// Serves until a planned stop is over. The calling thread becomes the control thread.
    void run();

private:
    void handleSignal(int signal);

    const std::function<std::optional<ServingSettings>()> m_reload;
    SystemClock m_clock;
    EventLoop m_controlLoop;
    EventLoop m_trafficLoop;
    platform::HttpCodec m_codec;
    // The mailboxes only keep references, so each may be made before what it delivers to.
    TrafficMailbox m_trafficMailbox;
    ControlPlane m_controlPlane;
    ControlMailbox m_controlMailbox;
    TrafficRelay m_traffic;
    SignalWatcher m_signals;
    std::jthread m_trafficThread;
};

} // namespace monsoonsail
