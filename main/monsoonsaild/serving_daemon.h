#pragma once

#include "drivers/control/control_mailbox.h"
#include "drivers/control/traffic_mailbox.h"
#include "drivers/loop/event_loop.h"
#include "drivers/loop/signal_watcher.h"
#include "drivers/settings/serving_settings.h"
#include "drivers/time/system_clock.h"
#include "drivers/traffic/caller_faults.h"
#include "drivers/traffic/traffic_relay.h"
#include "main/monsoonsaild/control_plane.h"
#include "platform/http_codec.h"

#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace monsoonsail {

/// An entry daemon with its two threads: the control thread and the traffic thread.
class ServingDaemon
{
public:
    /// Throws std::system_error if an address can't be bound. `logWriter` must outlive the daemon.
    /// `reload` reads the settings again and returns std::nullopt if they have faults.
    ServingDaemon(const ServingSettings &settings, const std::string &incarnation,
                  LogWriter &logWriter, std::function<std::optional<ServingSettings>()> reload);
    ~ServingDaemon();
    ServingDaemon(const ServingDaemon &) = delete;
    ServingDaemon &operator=(const ServingDaemon &) = delete;

    /// Serves until the end of a planned stop. The calling thread becomes the control thread.
    void run();

private:
    void handleSignal(int signal);

    const std::function<std::optional<ServingSettings>()> m_reload;
    SystemClock m_clock;
    EventLoop m_controlLoop;
    EventLoop m_trafficLoop;
    platform::HttpCodec m_httpCodec;
    CallerFaults m_callerFaults;
    // The mailboxes only store references, so each may be constructed before its receiver.
    TrafficMailbox m_trafficMailbox;
    ControlPlane m_controlPlane;
    ControlMailbox m_controlMailbox;
    TrafficRelay m_trafficRelay;
    SignalWatcher m_signalWatcher;
    std::jthread m_trafficThread;
};

} // namespace monsoonsail
