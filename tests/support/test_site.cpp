#include "tests/support/test_site.h"

#include "tests/support/caller.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdlib>
#include <stdexcept>
#include <thread>
#include <utility>

namespace monsoonsail {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds pollInterval{20};
constexpr std::chrono::seconds startTimeout{10};
constexpr std::uint64_t maxBodyBytes = 4UL * 1024 * 1024;

json route(const std::string &path, const std::string &kind, const std::string &service)
{
    return {{"Name", path},       {"Hostname", "club.example"},
            {"PathPrefix", path}, {"RouteKind", kind},
            {"Service", service}, {"Resumable", kind == "streaming"},
            {"Attempts", 3},      {"Priority", 1},
            {"TimeoutMs", 8000},  {"GoalMs", 500},
            {"GapGoalMs", 600}};
}

std::filesystem::path newFolder()
{
    std::string name = std::filesystem::temp_directory_path() / "monsoonsail-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create a folder for settings and logs");
    return name;
}

} // namespace

bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

TestSite::TestSite()
    : m_folder(newFolder())
{ }

TestSite::~TestSite()
{
    m_daemons.clear();
    if (!m_keepsLogs)
        std::filesystem::remove_all(m_folder);
}

void TestSite::publish(unsigned revision, const std::string &bookService,
                       const std::vector<std::string> &keys)
{
    json configuration{
            {"Version", revision},
            {"Routes",
             {route("/book/", "unsafe", bookService), route("/order/", "keyed", "plain"),
              route("/look/", "safe", "plain"), route("/review/", "streaming", "model")}},
            {"Services",
             {{{"Name", "plain"}, {"HealthPath", "/up"}, {"MaxConns", 100}},
              {{"Name", "model"}, {"HealthPath", "/up"}, {"MaxConns", 100}},
              {{"Name", "other"}, {"HealthPath", "/up"}, {"MaxConns", 100}}}},
            {"Tenants", {{{"Name", "club"}, {"ApiKeys", keys}}}},
            {"Limits",
             {{"MaxHeaderBytes", 8192},
              {"MaxBodyBytes", maxBodyBytes},
              {"HeaderTimeoutMs", 2000},
              {"IdleTimeoutMs", 20000}}}};
    if (m_streamSeed) {
        json plan = route("/plan/", "streaming", "model");
        plan["Resumable"] = false;
        configuration["Routes"].push_back(plan);
        configuration["Services"][1]["Engine"] = {{"Slots", 16},          {"KvCapacity", 4000000},
                                                  {"KvTokenBytes", 1000}, {"LinkMbps", 100000},
                                                  {"Moves", true},        {"HandleS", 5}};
    }
    m_platform.put("keyed.op", "config", configuration.dump());
}

FakeEndpoint &TestSite::addEndpoint(const std::string &service, std::chrono::milliseconds workTime)
{
    const std::string instance = service + "-" + std::to_string(++m_endpointCount);
    m_endpoints.push_back(
            std::make_unique<FakeEndpoint>(m_platform, m_runCounter, instance, service, workTime));
    if (m_streamSeed)
        m_endpoints.back()->varyStreams(*m_streamSeed);
    return *m_endpoints.back();
}

DaemonProcess &TestSite::addDaemon()
{
    return addDaemon("entry-" + std::to_string(m_daemons.size() + 1), {});
}

DaemonProcess &TestSite::addDaemon(const std::string &instance, const DaemonSettings &settings,
                                   const std::string &platform)
{
    m_daemons.push_back(std::make_unique<DaemonProcess>(
            instance, platform.empty() ? m_platform.address() : platform, m_folder, settings));
    m_daemons.back()->start();
    return *m_daemons.back();
}

void TestSite::startUp(unsigned daemons)
{
    publish(1);
    for (const char *service : {"plain", "plain", "model", "model"})
        addEndpoint(service);
    for (unsigned number = 0; number < daemons; ++number)
        addDaemon();
    for (const auto &daemon : m_daemons)
        waitUntilServing(*daemon, "/look/start");
}

DaemonProcess &TestSite::startDaemon(const std::string &path)
{
    DaemonProcess &daemon = addDaemon();
    waitUntilServing(daemon, path);
    return daemon;
}

void TestSite::waitUntilServing(const DaemonProcess &daemon, const std::string &path)
{
    // A ready daemon has a configuration. A successful request shows that it also knows endpoints.
    const bool serves = waitUntil(startTimeout, [&] {
        return daemon.isReady()
                && Caller().call(daemon.callerPort(), path, "start", std::chrono::seconds(1)).status
                == 200;
    });
    if (serves)
        return;
    keepLogs();
    throw std::runtime_error(daemon.instance() + " does not serve requests; logs in "
                             + m_folder.string());
}

} // namespace monsoonsail
