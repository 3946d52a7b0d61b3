#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

namespace monsoonsail {

/// One real monsoonsaild with settings in a folder of its own. It can be started again.
class DaemonProcess
{
public:
    /// `platform` is the "IP:port" of store and duties. The folder must exist.
    DaemonProcess(std::string instance, const std::string &platform,
                  const std::filesystem::path &folder);
    /// Kills the process if it still runs.
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    void start();
    void signal(int number) const;
    bool isRunning() { return !waitForExit(std::chrono::milliseconds(0)); }
    /// Waits for the end; nothing if it still runs after the time.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);
    /// Whether it answers questions for its status.
    bool isResponding() const;
    /// Whether it says that it can serve.
    bool isReady() const;

    const std::string &instance() const { return m_instance; }
    unsigned callerPort() const { return m_callerPort; }
    unsigned metricsPort() const { return m_metricsPort; }
    /// Returns everything that it has logged, over all its lives.
    std::string log() const;

private:
    const std::string m_instance;
    const std::filesystem::path m_settings;
    const std::filesystem::path m_log;
    const unsigned m_callerPort;
    const unsigned m_readyPort;
    const unsigned m_metricsPort;
    pid_t m_processId = 0; ///< 0 if none runs.
    int m_exitStatus = 0;
};

} // namespace monsoonsail
