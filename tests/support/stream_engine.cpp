#include "tests/support/stream_engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <utility>

namespace monsoonsail {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds sleepStep{5};
constexpr int statusMisdirected = 421;

std::string field(const HttpTestRequest &request, const char *name)
{
    const auto entry = request.find(name);
    return entry == request.end() ? std::string() : std::string(entry->value());
}

std::string chunk(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

json route(const std::string &path, bool isResumable)
{
    return {{"Name", path},       {"Hostname", "club.example"},
            {"PathPrefix", path}, {"RouteKind", "streaming"},
            {"Service", "model"}, {"Resumable", isResumable},
            {"Attempts", 4},      {"Affinity", true},
            {"Priority", 1},      {"TimeoutMs", 12000},
            {"GoalMs", 1000},     {"GapGoalMs", 600}};
}

} // namespace

StreamEngine::StreamEngine(FakePlatform &platform, std::string instance, std::string service,
                           Settings settings)
    : m_platform(platform)
    , m_instance(std::move(instance))
    , m_service(std::move(service))
    , m_settings(std::move(settings))
    , m_version(m_settings.version)
    , m_startTimeMs(wallClockMs())
    , m_server([this](RawSocket &socket) { serve(socket); })
{
    publishEntry("ready");
}

StreamEngine::~StreamEngine()
{
    m_server.stop();
}

std::string StreamEngine::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::vector<StreamEngine::Run> StreamEngine::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void StreamEngine::crash()
{
    m_isDown = true;
    ++m_incarnation;
}

void StreamEngine::start(const std::string &version, bool isListed)
{
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
        m_startTimeMs = std::max(wallClockMs(), m_startTimeMs + 1);
        m_sequence = 0;
    }
    m_isDown = false;
    if (isListed)
        publishEntry("ready");
}

void StreamEngine::breakOffStreams()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[request, stopFlag] : m_stopFlags)
        *stopFlag = true;
}

void StreamEngine::publishEntry(const std::string &state)
{
    json entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = {{"Service", m_service}, {"Address", m_server.address()},
                 {"Zone", "zvolen"},     {"Version", m_version},
                 {"Slots", 64},          {"State", state},
                 {"ColdLeftMs", 0},      {"Seq", ++m_sequence},
                 {"born", m_startTimeMs}};
    }
    m_platform.put("keyed.servers", m_instance, entry.dump());
}

void StreamEngine::serve(RawSocket &socket)
{
    HttpConnection connection(socket);
    const unsigned incarnation = m_incarnation;
    const auto hasEnded = [this, incarnation] {
        return m_server.isStopping() || m_isDown || m_incarnation != incarnation;
    };
    while (socket.isOpen() && !hasEnded()) {
        const auto request = connection.readRequest(hasEnded);
        if (!request || !sleep(milliseconds(0), incarnation))
            break;
        const std::string target(request->target());
        if (target == "/report") {
            const bool closes = m_settings.closesAfterStatusChecks;
            {
                const std::lock_guard lock(m_mutex);
                connection.answer(200, json{{"Stage", "both"}, {"born", m_startTimeMs}}.dump(),
                                  {{"Connection", closes ? "close" : "keep-alive"}});
            }
            if (closes)
                break;
        } else if (target == "/kv-move") {
            if (!handleOrder(*request, connection, socket))
                break;
        } else if (field(*request, "X-Target-Instance") != m_instance) {
            connection.answer(statusMisdirected, "",
                              {{"X-Attempt-Id", field(*request, "X-Attempt-Id")}});
        } else {
            stream(*request, socket);
            if (m_settings.framing == Framing::Connection)
                break;
        }
    }
    if (m_isDown || m_incarnation != incarnation)
        socket.reset();
    else
        socket.close();
}

void StreamEngine::stream(const HttpTestRequest &request, RawSocket &socket)
{
    const unsigned incarnation = m_incarnation;
    const bool isChunked = m_settings.framing == Framing::Chunks;
    const std::string id = field(request, "X-Attempt-Id");
    const std::string resumeAfter = field(request, "Last-Event-Id");
    std::uint64_t event = resumeAfter.empty() ? 0 : std::stoull(resumeAfter);
    const auto stopFlag = std::make_shared<std::atomic<bool>>(false);
    std::string version;
    {
        const std::lock_guard lock(m_mutex);
        version = m_version;
        m_runs.push_back({.request = id, .after = event, .version = version});
        m_stopFlags[id] = stopFlag;
    }
    socket.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\n"
                + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
    bool isCut = false;
    while (!isCut && ++event <= m_settings.events) {
        isCut = !sleep(m_settings.eventInterval, incarnation) || *stopFlag;
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + version + "\n\n";
        if (!isCut && !socket.send(isChunked ? chunk(text) : text))
            break;
    }
    if (isChunked && event > m_settings.events)
        socket.send("0\r\n\r\n");
    else if (isChunked && !m_isDown && m_incarnation == incarnation)
        socket.close();
    const std::lock_guard lock(m_mutex);
    const auto flag = m_stopFlags.find(id);
    if (flag != m_stopFlags.end() && flag->second == stopFlag)
        m_stopFlags.erase(flag);
}

bool StreamEngine::handleOrder(const HttpTestRequest &request, const HttpConnection &connection,
                               const RawSocket &socket)
{
    ++m_orderCount;
    const unsigned incarnation = m_incarnation;
    const OrderFate fate = m_settings.orderFate;
    const json order = json::parse(request.body(), nullptr, false);
    const std::string id = order.is_object() ? order.value("Id", "") : "";
    Flag stopFlag;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto entry = m_stopFlags.find(id); entry != m_stopFlags.end())
            stopFlag = entry->second;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto sleepUntil = [&](milliseconds time) {
        const auto passed =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
        return sleep(std::max(milliseconds(0), time - passed), incarnation);
    };
    const auto stopRun = [&] {
        sleepUntil(fate.stopDelay);
        if (fate.stopsRun && stopFlag)
            *stopFlag = true;
    };
    const bool stopsFirst = fate.stopDelay <= fate.answerDelay;
    if (stopsFirst)
        stopRun();
    sleepUntil(fate.answerDelay);
    bool staysOpen = true;
    const std::string withHandle = json{{"Handle", "h1"}, {"Created", 1}}.dump();
    switch (stopFlag ? fate.answer : OrderAnswer::NotFound) {
    case OrderAnswer::Handle:
        connection.answer(200, withHandle);
        break;
    case OrderAnswer::UnframedHandle:
        socket.send("HTTP/1.1 200 OK\r\n\r\n" + withHandle);
        staysOpen = false;
        break;
    case OrderAnswer::KeptAtSource:
        connection.answer(503, withHandle);
        break;
    case OrderAnswer::BareRefusal:
        connection.answer(503, "{}");
        break;
    case OrderAnswer::NotFound:
        connection.answer(404, "{}");
        break;
    case OrderAnswer::InProgress:
        connection.answer(409, "{}");
        break;
    case OrderAnswer::Disconnection:
        staysOpen = false;
        break;
    case OrderAnswer::None:
        if (!stopsFirst)
            stopRun();
        sleep(std::chrono::seconds(10), incarnation);
        return false;
    }
    if (!stopsFirst)
        stopRun();
    return staysOpen;
}

bool StreamEngine::sleep(milliseconds time, unsigned incarnation) const
{
    const auto end = std::chrono::steady_clock::now() + time;
    for (auto now = std::chrono::steady_clock::now(); now < end || m_isSilent;
         now = std::chrono::steady_clock::now()) {
        if (m_server.isStopping() || m_isDown || m_incarnation != incarnation)
            return false;
        const std::chrono::steady_clock::duration step = sleepStep;
        std::this_thread::sleep_for(m_isSilent ? step : std::min(step, end - now));
    }
    return !m_server.isStopping() && !m_isDown && m_incarnation == incarnation;
}

std::string streamSiteConfiguration(unsigned revision)
{
    const json engine{{"Slots", 64},        {"KvCapacity", 4000000}, {"KvTokenBytes", 1000},
                      {"LinkMbps", 100000}, {"Moves", true},         {"HandleS", 5}};
    const json configuration{
            {"Version", revision},
            {"Routes", {route("/review/", true), route("/plan/", false)}},
            {"Services",
             {{{"Name", "model"}, {"HealthPath", "/up"}, {"MaxConns", 400}, {"Engine", engine}}}},
            {"Tenants", {{{"Name", "club"}, {"ApiKeys", {"key"}}}}},
            {"Limits",
             {{"MaxHeaderBytes", 8192},
              {"MaxBodyBytes", 1000000},
              {"HeaderTimeoutMs", 2000},
              {"IdleTimeoutMs", 20000}}}};
    return configuration.dump();
}

} // namespace monsoonsail
