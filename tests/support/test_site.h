#pragma once

#include "tests/support/daemon_process.h"
#include "tests/support/fake_endpoint.h"
#include "tests/support/fake_platform.h"
#include "tests/support/run_counter.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// Polls `condition` until it is true or the timeout expires. Returns whether it became true.
bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/// A complete small site: a fake platform, fake endpoints of the services "plain" and "model", and
/// entry daemons. Routes of host club.example: /book/ (unsafe), /order/ (of a kind that the daemons
/// don't know) and /look/ (safe) lead to "plain", /review/ (streaming) to "model".
class TestSite
{
public:
    TestSite();
    /// Stops the daemons and removes the folder, except after keepLogs().
    ~TestSite();
    TestSite(const TestSite &) = delete;
    TestSite &operator=(const TestSite &) = delete;

    /// Publishes a configuration in which /book/ leads to `bookService` and the account has these
    /// API keys.
    void publish(unsigned revision, const std::string &bookService = "plain",
                 const std::vector<std::string> &keys = {"key"});
    /// Lets the endpoints of "model" vary their streams by the seed, and the daemons move runs
    /// between them. Adds the route /plan/ (streaming, not resumable). Call it before publish().
    void varyStreams(std::uint64_t seed) { m_streamSeed = seed; }
    FakeEndpoint &addEndpoint(const std::string &service,
                              std::chrono::milliseconds workTime = std::chrono::milliseconds(5));
    /// Starts a daemon without waiting for it to become ready.
    DaemonProcess &addDaemon();
    /// `platform` is the "IP:port" at which it reaches the platform, if that is a proxy.
    DaemonProcess &addDaemon(const std::string &instance, const DaemonSettings &settings,
                             const std::string &platform = {});
    /// Starts a daemon and waits until it serves `path`. Throws std::runtime_error if it doesn't in
    /// time.
    DaemonProcess &startDaemon(const std::string &path);
    /// Publishes a configuration, adds two endpoints per service and `daemons` daemons, and waits
    /// until the daemons serve requests. Throws std::runtime_error if one doesn't in time.
    void startUp(unsigned daemons);
    void keepLogs() { m_keepsLogs = true; }

    const std::filesystem::path &folder() const { return m_folder; }
    FakePlatform &platform() { return m_platform; }
    RunCounter &runCounter() { return m_runCounter; }
    std::vector<std::unique_ptr<FakeEndpoint>> &endpoints() { return m_endpoints; }
    std::vector<std::unique_ptr<DaemonProcess>> &daemons() { return m_daemons; }

private:
    void waitUntilServing(const DaemonProcess &daemon, const std::string &path);

    std::filesystem::path m_folder;
    bool m_keepsLogs = false;
    FakePlatform m_platform;
    RunCounter m_runCounter;
    unsigned m_endpointCount = 0;
    std::optional<std::uint64_t> m_streamSeed;
    std::vector<std::unique_ptr<FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
};

} // namespace monsoonsail
