#include "drivers/logging/json_log_sink.h"
#include "drivers/settings/serving_settings.h"
#include "main/monsoonsaild/serving_daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "path of the TOML file with the settings of this instance");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

using namespace monsoonsail;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int kilobyte = 1024;
/// Larger buffers are mapped, so that they go back to the system when they are freed. By default
/// the C library raises this with the first large buffer and keeps what is freed between others.
constexpr int mappedBufferBytes = 128 * kilobyte;
/// Free memory at the end of the heap that is kept.
constexpr int keptHeapBytes = 1024 * kilobyte;

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Reads and checks the settings. Calls `report` with each fault and returns std::nullopt if there
/// are any.
std::optional<ServingSettings> loadSettings(const std::string &path,
                                            const std::function<void(const std::string &)> &report)
{
    const auto text = readFile(path);
    if (!text) {
        report("cannot read the settings file \"" + path + "\"");
        return std::nullopt;
    }
    std::vector<ConfigurationFault> faults;
    ServingSettings settings = readServingSettings(*text, path, faults);
    for (const ConfigurationFault &fault : faults)
        report(describe(fault));
    if (!faults.empty())
        return std::nullopt;
    return settings;
}

/// Returns an identifier that distinguishes this process from all others of the instance.
std::string newIncarnation(const std::string &instance)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
    return instance + "." + std::to_string(microseconds.count());
}

} // namespace

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
    mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
    absl::SetProgramUsageMessage("Entry daemon of monsoonsail.\nmonsoonsaild --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    const auto settings =
            loadSettings(path, [](const std::string &fault) { std::cerr << fault << "\n"; });
    if (!settings)
        return exitUsage;
    if (absl::GetFlag(FLAGS_check))
        return 0;
    LogWriter logWriter(STDOUT_FILENO);
    const JsonLogSink sink(argv[0], settings->instance, logWriter);
    try {
        ServingDaemon daemon(*settings, newIncarnation(settings->instance), logWriter, [path] {
            return loadSettings(path, [](const std::string &fault) {
                LOG(ERROR) << "settings not reloaded: " << fault;
            });
        });
        daemon.run();
    } catch (const std::exception &error) {
        LOG(ERROR) << "cannot start: " << error.what();
        logWriter.flush();
        return exitFailure;
    }
    return 0;
}
