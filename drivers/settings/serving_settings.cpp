#include "drivers/settings/serving_settings.h"

#include "servers/configuration/table_reader.h"
#include "servers/configuration/toml_document.h"

#include <algorithm>

namespace monsoonsail {

namespace {

constexpr double maxSeconds = 3600;
constexpr double maxMs = 3'600'000;
constexpr double maxRequests = 1e9;
constexpr double maxMemoryMb = 1e6;
constexpr double bytesPerMb = 1024.0 * 1024;
constexpr double maxDescriptors = 1e7;
/// Part of the process's memory for digests. What is derived from them takes as much again.
constexpr double digestMemoryDivisor = 16;

/// Returns the digest addresses of the entry instances in `seeds`, a list of "IP:port" separated by
/// commas. The port is that of `digestListen`, since all instances use the same port for digests.
std::vector<std::string> peerAddresses(std::string_view seeds, std::string_view digestListen)
{
    std::vector<std::string> addresses;
    const std::string_view port =
            digestListen.substr(std::min(digestListen.find(':'), digestListen.size()));
    while (!seeds.empty()) {
        const std::size_t end = std::min(seeds.find(','), seeds.size());
        const std::string_view seed = seeds.substr(0, end);
        if (!seed.empty())
            addresses.push_back(std::string(seed.substr(0, seed.find(':'))) + std::string(port));
        seeds.remove_prefix(std::min(end + 1, seeds.size()));
    }
    return addresses;
}

} // namespace

ServingSettings readServingSettings(std::string_view text, const std::string &file,
                                    std::vector<ConfigurationFault> &faults)
{
    const toml::table document = parseToml(text, file, faults);
    TableReader reader(document, "", faults);
    ServingSettings settings;
    settings.instance = reader.string("instance");
    settings.zone = reader.string("zone");
    settings.callerListen = reader.string("caller_listen");
    settings.readyListen = reader.string("ready_listen");
    settings.controlListen = reader.string("control_listen");
    settings.metricsListen = reader.string("metrics_listen", "");
    settings.digestListen = reader.string("digest_listen");
    settings.storeAddress = reader.string("store");
    settings.dutyAddress = reader.string("duties");
    settings.peerAddresses = peerAddresses(reader.string("seeds", ""), settings.digestListen);
    settings.stopGrace = fromSeconds(reader.number("stop_grace_s", 0, maxSeconds));
    settings.memoryBytes =
            static_cast<std::size_t>(reader.number("memory_mb", 1, maxMemoryMb, 256) * bytesPerMb);
    const double memoryMb = static_cast<double>(settings.memoryBytes) / bytesPerMb;
    settings.digestMemoryBytes = static_cast<std::size_t>(
            reader.number("digest_memory_mb", 0.1, maxMemoryMb, memoryMb / digestMemoryDivisor)
            * bytesPerMb);
    settings.maxDescriptors =
            static_cast<std::size_t>(reader.number("max_descriptors", 0, maxDescriptors, 0));
    reader.readOptionalTable("callers", [&settings](TableReader &table) {
        CallerSettings &callers = settings.callers;
        const auto bytes = [&table](const char *key) {
            return static_cast<std::size_t>(table.number(key, 0, maxMemoryMb, 0) * bytesPerMb);
        };
        callers.maxConnections =
                static_cast<std::size_t>(table.number("max_connections", 0, maxDescriptors, 0));
        callers.maxLocalConnections = static_cast<std::size_t>(table.number(
                "max_local_connections", 1, maxDescriptors, callers.maxLocalConnections));
        callers.requestBytes = bytes("request_memory_mb");
        callers.unreadBytes = bytes("unread_memory_mb");
        callers.requestTime = fromSeconds(
                table.number("request_time_s", 1, maxSeconds, toSeconds(callers.requestTime)));
    });
    reader.readOptionalTable("repeats", [&settings](TableReader &table) {
        settings.limits.repeats = {.ratio = table.number("ratio", 0, 1),
                                   .slack = table.number("slack", 0, maxRequests),
                                   .window = fromSeconds(table.number("window_s", 0, maxSeconds))};
    });
    reader.readOptionalTable("allowances", [&settings](TableReader &table) {
        settings.limits.allowances = {
                .window = fromSeconds(table.number("window_s", 0.1, maxSeconds)),
                .excess = table.number("excess", 0, 1),
                .slack = table.number("slack", 0, maxRequests),
                .keepsUrgent = table.boolean("keeps_urgent", false)};
    });
    reader.readOptionalTable("admission", [&settings](TableReader &table) {
        settings.limits.sharesPlaces = table.boolean("shares_places", false);
    });
    reader.readOptionalTable("usage", [&settings](TableReader &table) {
        settings.limits.usageWindow = fromSeconds(table.number("window_s", 0.1, maxSeconds));
        settings.limits.usageReportDeadline = fromSeconds(table.number("due_s", 0, maxSeconds));
    });
    reader.readOptionalTable("fleet", [&settings](TableReader &table) {
        FleetPolicy &fleet = settings.limits.fleet;
        fleet.engineUse = table.number("engine_use", 0.01, 1, fleet.engineUse);
        fleet.onDemandUse = table.number("on_demand_use", 0.01, 1, fleet.onDemandUse);
        fleet.slotUse = table.number("slot_use", 0.01, 1, fleet.slotUse);
    });
    reader.readOptionalTable("rollout", [&settings](TableReader &table) {
        settings.limits.rollout = {.exposureShare = table.number("exposure_share", 0, 1),
                                   .exposureSlack = table.number("exposure_slack", 0, maxRequests),
                                   .rollbackTime = fromMs(table.number("rollback_ms", 0, maxMs))};
    });
    reader.readOptionalTable("placement", [&settings](TableReader &table) {
        settings.limits.learnsCosts = table.boolean("learns_costs", false);
    });
    settings.limits.heartbeatInterval =
            fromSeconds(reader.number("heartbeat_ms", 1, maxMs, 1200) / 1000);
    settings.limits.drainTime = fromSeconds(reader.number("drain_ms", 0, maxMs, 2000) / 1000);
    settings.limits.configurationTime =
            fromSeconds(reader.number("configuration_ms", 1, maxMs, 2000) / 1000);
    settings.limits.maxConfigurationAge =
            std::min(settings.limits.maxConfigurationAge, settings.limits.configurationTime);
    settings.limits.fencingNumbersAreChecked = reader.boolean("duty_numbers_checked", true);
    settings.limits.dutyLease = fromSeconds(reader.number("duty_lease_ms", 0, maxMs, 3000) / 1000);
    reader.reportUnknownKeys();
    return settings;
}

} // namespace monsoonsail
