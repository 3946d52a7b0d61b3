#include "tests/processes/leaving_run.h"

#include "tests/support/busy_processes.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <map>
#include <utility>

namespace monsoonsail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time in which endpoints leave.
constexpr milliseconds leavingTime{11'000};
/// Time for which late requests are looked for, beyond the drain time of the last endpoint.
constexpr milliseconds watchTime{2000};
/// From the announcements of a zone's endpoints until others replace them.
constexpr milliseconds replacementTime{1500};
/// From the end of the drain time until an entry is removed.
constexpr milliseconds lingerTime{1000};
constexpr milliseconds pauseTime{800};
constexpr milliseconds pauseInterval{900};
/// A daemon is in touch if it ran without a disturbance for this long, as the users' rules say.
constexpr milliseconds contactTime{5000};
constexpr unsigned busyProcessCount = 3;

/// Requests from one daemon that reached leaving endpoints later than the drain time.
struct LateRequests
{
    unsigned count = 0;
    milliseconds worst{}; ///< From the acknowledged leaving of the endpoint.
    EndpointServer::Arrival example;
};

DaemonSettings settings()
{
    return {.drainTime = milliseconds(4000),
            .usageWindow = std::chrono::seconds(5),
            .usageDue = std::chrono::seconds(10)};
}

} // namespace

LeavingRun::LeavingRun(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
    , m_fleet(settings())
{ }

std::vector<std::string> LeavingRun::run()
{
    m_fleet.startUp();
    planPauses();
    FleetLoad load(m_fleet, m_seed);
    const BusyProcesses busyProcesses(busyProcessCount);
    m_start = std::chrono::steady_clock::now();
    planLeavings();
    const auto startTime = std::chrono::system_clock::now().time_since_epoch();
    m_timetable.run(m_start);
    const std::string drops = m_fleet.droppedDatagrams();
    load.finish();
    std::vector<std::string> violations = lateRequests();
    for (const std::string &instance : m_fleet.endedDaemons())
        violations.push_back(instance + " has ended by itself");
    std::cout << "leaving seed " << m_seed << ": " << load.callCount() << " calls, "
              << load.servedCount() << " served, " << m_fleet.endpoints().leavings().size()
              << " endpoints left, last request " << m_worstInTouch.count()
              << " ms after it (not in touch: " << m_worst.count() << " ms), machine late by "
              << m_fleet.endpoints().worstDelay().count() << " ms, " << m_lateCount << " too late"
              << std::endl;
    if (violations.empty())
        return violations;
    m_fleet.site().keepLogs();
    violations.push_back("started at "
                         + std::to_string(duration_cast<milliseconds>(startTime).count())
                         + "; logs in " + m_fleet.site().folder().string());
    violations.push_back(drops);
    for (const auto &[at, what] : m_description)
        violations.push_back(std::to_string(at.count()) + " ms: " + what);
    return violations;
}

void LeavingRun::planLeavings()
{
    const milliseconds drainTime = m_fleet.daemon(0).settings().drainTime;
    milliseconds at{500};
    milliseconds end{};
    for (auto zone = static_cast<std::size_t>(draw(0, LargeFleet::zones.size() - 1));
         at < leavingTime; at += milliseconds(draw(1800, 3500)), ++zone) {
        const std::string name = LargeFleet::zones.at(zone % LargeFleet::zones.size());
        end = at + milliseconds(draw(0, 1) * 300);
        m_fleet.endpoints().leave(name, m_start + at, m_start + end, m_start + at + replacementTime,
                                  m_start + end + drainTime + lingerTime);
        m_rounds.insert(at);
        describe(at, "the endpoints of " + name + " leave until " + std::to_string(end.count()));
        planKill(at);
    }
    m_timetable.add(end + drainTime + watchTime, [] {});
}

void LeavingRun::planKill(milliseconds leavingAt)
{
    if (draw(0, 4) == 0)
        return;
    const milliseconds killedAt = leavingAt + milliseconds(draw(-150, 450));
    const milliseconds restartedAt = killedAt + milliseconds(draw(0, 1) * draw(100, 500));
    std::vector<unsigned> daemons = m_fleet.readerZoneDaemons();
    // Sometimes only some are killed, and not always the one with the smallest name.
    if (draw(0, 3) == 0)
        daemons.erase(daemons.begin());
    daemons.resize(draw(0, 1) == 0 ? daemons.size() : static_cast<std::size_t>(draw(2, 8)));
    describe(killedAt,
             std::to_string(daemons.size()) + " daemons from "
                     + m_fleet.daemon(daemons.front()).instance() + " on are killed, restarted at "
                     + std::to_string(restartedAt.count()));
    m_timetable.add(killedAt, [this, daemons] { m_fleet.kill(daemons); });
    m_timetable.add(restartedAt, [this, daemons] { m_fleet.restart(daemons); });
}

void LeavingRun::planPauses()
{
    std::vector<unsigned> daemons;
    for (unsigned number = LargeFleet::daemonsPerZone; number < LargeFleet::daemonCount; ++number)
        daemons.push_back(number);
    std::ranges::shuffle(daemons, m_random);
    milliseconds at{};
    for (const unsigned daemon : daemons) {
        if (at >= leavingTime)
            return;
        describe(at, m_fleet.daemon(daemon).instance() + " is paused");
        m_timetable.add(at, [this, daemon] { m_fleet.pause(daemon); });
        m_timetable.add(at + pauseTime, [this, daemon] { m_fleet.resume(daemon); });
        at += pauseInterval;
    }
}

std::vector<std::string> LeavingRun::lateRequests()
{
    std::map<std::string, LightEndpoints::Instant> leavings;
    for (const LightEndpoints::Leaving &leaving : m_fleet.endpoints().leavings())
        leavings[leaving.instance] = leaving.acknowledgedAt;
    // By the round of leavings and the daemon that sent the requests.
    std::map<std::pair<milliseconds, unsigned>, LateRequests> late;
    for (const EndpointServer::Arrival &arrival : m_fleet.endpoints().arrivals()) {
        const auto leaving = leavings.find(arrival.instance);
        if (leaving == leavings.end())
            continue;
        const unsigned daemon = FleetLoad::daemonOf(arrival.request);
        const auto delay = duration_cast<milliseconds>(arrival.at - leaving->second);
        m_worst = std::max(m_worst, delay);
        if (m_fleet.contacts().wasDisturbed(daemon, arrival.at - contactTime, arrival.at))
            continue;
        m_worstInTouch = std::max(m_worstInTouch, delay);
        if (delay <= m_fleet.daemon(daemon).settings().drainTime)
            continue;
        const auto round = *std::prev(
                m_rounds.upper_bound(duration_cast<milliseconds>(leaving->second - m_start)));
        LateRequests &requests = late[{round, daemon}];
        ++requests.count;
        if (requests.worst < delay)
            requests = {.count = requests.count, .worst = delay, .example = arrival};
    }
    std::vector<std::string> lines;
    for (const auto &[key, requests] : late) {
        m_lateCount += requests.count;
        lines.push_back(std::to_string(requests.count) + " requests from "
                        + m_fleet.daemon(key.second).instance()
                        + " reached endpoints that left from " + std::to_string(key.first.count())
                        + " ms on; " + requests.example.request + " reached "
                        + requests.example.instance + " " + std::to_string(requests.worst.count())
                        + " ms after its leaving was acknowledged");
    }
    return lines;
}

} // namespace monsoonsail
