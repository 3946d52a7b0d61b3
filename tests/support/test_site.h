#pragma once

#include "tests/support/daemon_process.h"
#include "tests/support/fake_endpoint.h"
#include "tests/support/fake_platform.h"
#include "tests/support/run_counter.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonsail {

/// Returns whether the condition comes true within the time.
bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/// A whole small site: a platform, endpoints of the services "desk" and "model", entry daemons.
/// Routes of host club.example: /book/ unsafe and /look/ safe to "desk", /review/ to "model".
class TestSite
{
public:
    /// Ends what still runs and removes the folder, unless a caller wants to keep the logs.
    TestSite();
    ~TestSite();
    TestSite(const TestSite &) = delete;
    TestSite &operator=(const TestSite &) = delete;

    /// Publishes a configuration in which /book/ leads to `bookService`.
    void publish(unsigned revision, const std::string &bookService = "desk",
                 const std::vector<std::string> &keys = {"key"});
    FakeEndpoint &addEndpoint(const std::string &service,
                              std::chrono::milliseconds workTime = std::chrono::milliseconds(5));
    /// Starts a daemon; it may not be ready yet.
    DaemonProcess &addDaemon();
    /// Publishes, adds two endpoints for each service and `daemons` daemons, and waits for them.
    /// Throws std::runtime_error if they do not become ready.
    void startUp(unsigned daemons);
    void keepLogs() { m_keepsLogs = true; }

    const std::filesystem::path &folder() const { return m_folder; }
    FakePlatform &platform() { return m_platform; }
    RunCounter &runCounter() { return m_runCounter; }
    std::vector<std::unique_ptr<FakeEndpoint>> &endpoints() { return m_endpoints; }
    std::vector<std::unique_ptr<DaemonProcess>> &daemons() { return m_daemons; }

private:
    std::filesystem::path m_folder;
    bool m_keepsLogs = false;
    FakePlatform m_platform;
    RunCounter m_runCounter;
    unsigned m_endpointCount = 0;
    std::vector<std::unique_ptr<FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
};

} // namespace monsoonsail
