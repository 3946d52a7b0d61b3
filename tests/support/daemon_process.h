#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

namespace monsoonsail {

/// A monsoonsaild process, its settings file and its log. It can be restarted.
class DaemonProcess
{
public:
    /// `platform` is the "IP:port" of the store and of the duty API. `folder` must exist.
    DaemonProcess(std::string instance, const std::string &platform,
                  const std::filesystem::path &folder);
    /// Kills the process if it is still running.
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    void start();
    void signal(int number) const;
    bool isRunning() { return !waitForExit(std::chrono::milliseconds(0)); }
    /// Waits for the process to end. Returns its exit status, or the negative number of the signal
    /// that ended it, or std::nullopt if it is still running after `timeout`.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);
    /// Returns whether it answers /readyz, with any status.
    bool isResponding() const;
    /// Returns whether it reports on /readyz that it is ready.
    bool isReady() const;

    const std::string &instance() const { return m_instance; }
    unsigned callerPort() const { return m_callerPort; }
    unsigned metricsPort() const { return m_metricsPort; }
    /// Returns the log of all runs of the daemon.
    std::string log() const;

private:
    const std::string m_instance;
    const std::filesystem::path m_settings;
    const std::filesystem::path m_log;
    const unsigned m_callerPort;
    const unsigned m_readyPort;
    const unsigned m_metricsPort;
    pid_t m_processId = 0; ///< 0 if no process is running.
    int m_exitStatus = 0;
};

} // namespace monsoonsail
