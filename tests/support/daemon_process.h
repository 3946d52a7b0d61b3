#pragma once

#include "tests/support/port_reservation.h"

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

namespace monsoonsail {

/// Settings of a daemon that tests vary.
struct DaemonSettings
{
    std::string zone = "zvolen";
    std::chrono::milliseconds drainTime{2000};
    std::chrono::seconds usageWindow{1};
    std::chrono::seconds usageDue{4};
    bool hasRollouts = false;
    unsigned memoryMb = 0;       ///< Memory in its settings; 0 for the default.
    unsigned maxConnections = 0; ///< Of callers, in its settings; 0 for the default.
    unsigned maxDescriptors = 0; ///< Limit of the process; 0 for that of the test.
};

/// A monsoonsaild process, its settings file and its log. It can be restarted. The process ends at
/// the latest with the thread that has started it.
class DaemonProcess
{
public:
    /// `platform` is the "IP:port" of the store and of the duty API. `folder` must exist.
    DaemonProcess(std::string instance, const std::string &platform,
                  const std::filesystem::path &folder, DaemonSettings settings = {});
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
    pid_t processId() const { return m_processId; }
    const DaemonSettings &settings() const { return m_settings; }
    unsigned callerPort() const { return m_callerPort.port(); }
    unsigned readyPort() const { return m_readyPort.port(); }
    unsigned metricsPort() const { return m_metricsPort.port(); }
    unsigned digestPort() const { return m_digestPort.port(); }
    /// Returns the log of all runs of the daemon.
    std::string log() const;

private:
    const std::string m_instance;
    const DaemonSettings m_settings;
    const std::filesystem::path m_settingsFile;
    const std::filesystem::path m_log;
    const PortReservation m_callerPort;
    const PortReservation m_readyPort;
    const PortReservation m_controlPort;
    const PortReservation m_metricsPort;
    const PortReservation m_digestPort;
    pid_t m_processId = 0; ///< 0 if no process is running.
    int m_exitStatus = 0;
};

} // namespace monsoonsail
