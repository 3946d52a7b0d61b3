#include "tests/processes/large_fleet.h"

#include "tests/support/caller.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace monsoonsail {

namespace {

using nlohmann::json;

/// From the start of the daemons until each one knows all others.
constexpr std::chrono::seconds startTimeout{20};
constexpr std::chrono::seconds endTimeout{5};

json route(const std::string &path, const std::string &kind, const std::string &service)
{
    return {{"Name", path},       {"Hostname", "club.example"},
            {"PathPrefix", path}, {"RouteKind", kind},
            {"Service", service}, {"Resumable", kind == "streaming"},
            {"Attempts", 2},      {"Affinity", kind == "streaming"},
            {"Priority", 1},      {"TimeoutMs", 8000},
            {"GoalMs", 500},      {"GapGoalMs", 600}};
}

} // namespace

LargeFleet::LargeFleet(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_endpoints(m_site.platform())
{
    publishConfiguration();
    const auto now = std::chrono::steady_clock::now();
    for (const char *zone : zones) {
        DaemonSettings zoneSettings = m_settings;
        zoneSettings.zone = zone;
        for (unsigned number = 1; number <= daemonsPerZone; ++number)
            m_site.addDaemon(zone + ("-" + std::to_string(number)), zoneSettings);
        for (unsigned number = 0; number < endpointsPerZoneAndService; ++number) {
            m_endpoints.add("plain", zone, now);
            m_endpoints.add("model", zone, now);
        }
    }
}

void LargeFleet::publishConfiguration()
{
    const json engine{{"Slots", 16},        {"KvCapacity", 400000}, {"KvTokenBytes", 1000},
                      {"LinkMbps", 100000}, {"Moves", false},       {"HandleS", 2}};
    const json configuration{
            {"Version", 1},
            {"Routes",
             {route("/look/", "safe", "plain"), route("/book/", "unsafe", "plain"),
              route("/review/", "streaming", "model")}},
            {"Services",
             {{{"Name", "plain"}, {"HealthPath", "/up"}, {"MaxConns", 1900}},
              {{"Name", "model"}, {"HealthPath", "/up"}, {"MaxConns", 1900}, {"Engine", engine}}}},
            {"Tenants", {{{"Name", "club"}, {"ApiKeys", {"key"}}}}},
            {"Limits",
             {{"MaxHeaderBytes", 8192},
              {"MaxBodyBytes", 1000000},
              {"HeaderTimeoutMs", 2000},
              {"IdleTimeoutMs", 20000}}}};
    m_site.platform().put("keyed.op", "config", configuration.dump());
}

void LargeFleet::startUp()
{
    for (unsigned number = 0; number < daemonCount; ++number) {
        const bool isStarted = waitUntil(startTimeout, [&] { return knowsAll(number); });
        if (!isStarted) {
            m_site.keepLogs();
            throw std::runtime_error(daemon(number).instance() + " does not know all others; logs "
                                     + "in " + m_site.folder().string());
        }
    }
}

bool LargeFleet::knowsAll(unsigned number)
{
    const std::string page = Caller::fetch(daemon(number).metricsPort(), "/metrics").body;
    const auto hasValue = [&page](const std::string &metric, std::size_t value) {
        return page.find("\n" + metric + " " + std::to_string(value) + "\n") != std::string::npos;
    };
    return hasValue("monsoonsail_peers", daemonCount)
            && hasValue("monsoonsail_usable_endpoints",
                        2 * endpointsPerZoneAndService * zones.size());
}

std::vector<unsigned> LargeFleet::readerZoneDaemons()
{
    std::vector<unsigned> daemons(daemonsPerZone);
    std::iota(daemons.begin(), daemons.end(), 0U);
    std::ranges::sort(daemons, {}, [this](unsigned number) -> const std::string & {
        return m_site.daemons().at(number)->instance();
    });
    return daemons;
}

unsigned LargeFleet::daemonNumber(const std::string &instance)
{
    const auto &daemons = m_site.daemons();
    const auto daemon = std::ranges::find_if(
            daemons, [&instance](const auto &process) { return process->instance() == instance; });
    if (daemon == daemons.end())
        throw std::runtime_error("there is no daemon " + instance);
    return static_cast<unsigned>(daemon - daemons.begin());
}

void LargeFleet::kill(std::span<const unsigned> daemons)
{
    for (const unsigned number : daemons) {
        m_contacts.beginDisturbance(number);
        daemon(number).signal(SIGKILL);
    }
    for (const unsigned number : daemons)
        daemon(number).waitForExit(endTimeout);
}

void LargeFleet::restart(std::span<const unsigned> daemons)
{
    for (const unsigned number : daemons) {
        daemon(number).start();
        m_contacts.endDisturbance(number);
    }
}

void LargeFleet::pause(unsigned number)
{
    m_contacts.beginDisturbance(number);
    daemon(number).signal(SIGSTOP);
}

void LargeFleet::resume(unsigned number)
{
    daemon(number).signal(SIGCONT);
    m_contacts.endDisturbance(number);
}

std::string LargeFleet::droppedDatagrams()
{
    // Columns: number, local "ADDRESS:PORT" in hexadecimal, eight others, and the drops at the end.
    std::map<unsigned, std::string> dropsByPort;
    std::ifstream table("/proc/net/udp");
    for (std::string line; std::getline(table, line);) {
        std::istringstream columns(line);
        const std::vector<std::string> fields{std::istream_iterator<std::string>(columns), {}};
        const std::size_t colon = fields.at(1).find(':');
        if (colon != std::string::npos && fields.back() != "0")
            dropsByPort[std::stoul(fields.at(1).substr(colon + 1), nullptr, 16)] = fields.back();
    }
    std::string text;
    for (const auto &process : m_site.daemons()) {
        const auto drops = dropsByPort.find(process->digestPort());
        if (drops != dropsByPort.end())
            text += " " + process->instance() + " " + drops->second;
    }
    return text.empty() ? "no datagrams dropped" : "datagrams dropped:" + text;
}

std::vector<std::string> LargeFleet::endedDaemons()
{
    std::vector<std::string> ended;
    for (const auto &process : m_site.daemons()) {
        if (!process->isRunning())
            ended.push_back(process->instance());
    }
    return ended;
}

} // namespace monsoonsail
