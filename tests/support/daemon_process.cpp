#include "tests/support/daemon_process.h"

#include "tests/support/caller.h"
#include "tests/support/child_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace monsoonsail {

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds pollInterval{10};

std::string loopback(const PortReservation &reservation)
{
    return "127.0.0.1:" + std::to_string(reservation.port());
}

} // namespace

DaemonProcess::DaemonProcess(std::string instance, const std::string &platform,
                             const std::filesystem::path &folder, DaemonSettings settings)
    : m_instance(std::move(instance))
    , m_settings(std::move(settings))
    , m_settingsFile(folder / (m_instance + ".toml"))
    , m_log(folder / (m_instance + ".log"))
{
    std::ofstream file(m_settingsFile);
    file << "instance = \"" << m_instance << "\"\nzone = \"" << m_settings.zone << "\"\n"
         << "caller_listen = \"" << loopback(m_callerPort) << "\"\n"
         << "ready_listen = \"" << loopback(m_readyPort) << "\"\n"
         << "control_listen = \"" << loopback(m_controlPort) << "\"\n"
         << "metrics_listen = \"" << loopback(m_metricsPort) << "\"\n"
         << "digest_listen = \"" << loopback(m_digestPort) << "\"\n"
         << "store = \"" << platform << "\"\nduties = \"" << platform << "\"\n"
         << "heartbeat_ms = 1200\ndrain_ms = " << m_settings.drainTime.count()
         << "\nduty_lease_ms = 3000\nstop_grace_s = 8\n"
         << (m_settings.memoryMb == 0 ? ""
                                      : "memory_mb = " + std::to_string(m_settings.memoryMb) + "\n")
         << (m_settings.maxConnections == 0 ? ""
                                            : "[callers]\nmax_connections = "
                             + std::to_string(m_settings.maxConnections) + "\n")
         << "[repeats]\nratio = 0.2\nslack = 50\nwindow_s = 10\n"
         << "[usage]\nwindow_s = " << m_settings.usageWindow.count()
         << "\ndue_s = " << m_settings.usageDue.count() << "\n"
         << "[allowances]\nwindow_s = 8\nexcess = 0.1\nslack = 100\n";
    if (m_settings.hasRollouts)
        file << "[rollout]\nexposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\n";
}

DaemonProcess::~DaemonProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitForExit(std::chrono::seconds(5));
    }
}

void DaemonProcess::start()
{
    const char *folder = std::getenv("MONSOONSAIL_BIN");
    const int output = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_processId = startChildProcess(
            {.path = std::string(folder == nullptr ? "build" : folder) + "/monsoonsaild",
             .arguments = {"--settings=" + m_settingsFile.string()},
             .output = output,
             .maxDescriptors = m_settings.maxDescriptors});
    ::close(output);
}

void DaemonProcess::signal(int number) const
{
    if (m_processId > 0)
        ::kill(m_processId, number);
}

std::optional<int> DaemonProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (m_processId > 0) {
        int status = 0;
        if (::waitpid(m_processId, &status, WNOHANG) == m_processId) {
            m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            m_processId = 0;
        } else if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return m_exitStatus;
}

bool DaemonProcess::isResponding() const
{
    return Caller::fetch(m_readyPort.port(), "/readyz").status != 0;
}

bool DaemonProcess::isReady() const
{
    return Caller::fetch(m_readyPort.port(), "/readyz").status == statusOk;
}

std::string DaemonProcess::log() const
{
    std::ostringstream text;
    text << std::ifstream(m_log).rdbuf();
    return text.str();
}

} // namespace monsoonsail
