#include "drivers/settings/serving_settings.h"

#include "servers/configuration/table_reader.h"
#include "servers/configuration/toml_document.h"

namespace monsoonsail {

namespace {

constexpr double maxSeconds = 3600;
constexpr double maxRequests = 1e9;

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
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
    settings.stopGrace = seconds(reader.number("stop_grace_s", 0, maxSeconds));
    reader.optionalTable("repeats", [&settings](TableReader &table) {
        settings.limits.repeats = {.ratio = table.number("ratio", 0, 1),
                                   .slack = table.number("slack", 0, maxRequests),
                                   .window = seconds(table.number("window_s", 0, maxSeconds))};
    });
    reader.finish();
    return settings;
}

} // namespace monsoonsail
