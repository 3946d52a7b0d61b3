#pragma once

#include "tests/processes/contact_log.h"
#include "tests/support/daemon_process.h"
#include "tests/support/light_endpoints.h"
#include "tests/support/test_site.h"

#include <array>
#include <chrono>
#include <span>
#include <string>
#include <vector>

namespace monsoonsail {

/// 48 entry daemons in four availability zones, so that bulletins go through relays, and endpoints
/// of the services "plain" and "model" in the same zones. Routes: /look/ (safe) and /book/ (unsafe)
/// lead to "plain", /review/ (streaming, resumable) to "model", whose endpoints are engines.
class LargeFleet
{
public:
    /// The daemons of the first one have the smallest names, so they read the store.
    static constexpr std::array zones{"banska", "martin", "zilina", "zvolen"};
    static constexpr unsigned daemonsPerZone = 12;
    static constexpr unsigned daemonCount = daemonsPerZone * zones.size();
    static constexpr unsigned endpointsPerZoneAndService = 5;

    /// `settings` are those of all daemons, apart from the zone.
    explicit LargeFleet(DaemonSettings settings);

    /// Starts all daemons and waits until each one knows all others and all endpoints. Throws
    /// std::runtime_error if that takes too long.
    void startUp();
    /// Returns the daemons of the first zone by their names, smallest first.
    std::vector<unsigned> readerZoneDaemons();
    /// Returns the number of the daemon with this name.
    unsigned daemonNumber(const std::string &instance);

    /// Ends daemons with SIGKILL and waits for their end.
    void kill(std::span<const unsigned> daemons);
    /// Starts daemons that have been killed.
    void restart(std::span<const unsigned> daemons);
    /// Stops a daemon with SIGSTOP.
    void pause(unsigned daemon);
    void resume(unsigned daemon);
    /// Describes the datagrams that the kernel has dropped at the sockets of running daemons.
    std::string droppedDatagrams();
    /// Returns the names of daemons that have ended by themselves.
    std::vector<std::string> endedDaemons();

    DaemonProcess &daemon(unsigned number) { return *m_site.daemons().at(number); }
    TestSite &site() { return m_site; }
    LightEndpoints &endpoints() { return m_endpoints; }
    const ContactLog &contacts() const { return m_contacts; }

private:
    void publishConfiguration();
    bool knowsAll(unsigned daemon);

    const DaemonSettings m_settings;
    TestSite m_site;
    LightEndpoints m_endpoints;
    ContactLog m_contacts;
};

} // namespace monsoonsail
