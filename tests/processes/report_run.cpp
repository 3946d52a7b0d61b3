#include "tests/processes/report_run.h"

#include "tests/processes/fleet_load.h"
#include "tests/processes/unreliable_calls.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <thread>

namespace monsoonsail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time in which holders are killed.
constexpr milliseconds killTime{14'000};
/// As above while no window has been reported again.
constexpr milliseconds maxKillTime{30'000};
/// From then until the reports are compared, so that calls that are carried out late count.
constexpr milliseconds settleTime{3500};
constexpr int maxKillDelayMs = 60;
constexpr int maxRestartDelayMs = 500;
/// Windows between two kills. A holder that has just begun sums up windows long after their end,
/// when all counts have arrived.
constexpr int minWindowsBeforeKill = 1;
constexpr int maxWindowsBeforeKill = 3;
/// Daemons that are paused over the end of a window, and for how long around it.
constexpr std::size_t pausedDaemons = 6;
constexpr int minPauseLeadMs = 50;
constexpr int maxPauseLeadMs = 350;
/// Between the resumptions of two daemons.
constexpr int maxResumeDelayMs = 80;
/// From the end of a window until daemons sum up its counts.
constexpr milliseconds settleDelay{1000};

DaemonSettings settings()
{
    // Windows are shorter than on the users' sites, so that a run has more of them. Each one can be
    // reported by several holders.
    return {.drainTime = milliseconds(4000),
            .usageWindow = std::chrono::seconds(2),
            .usageDue = std::chrono::seconds(12)};
}

std::string describe(const FakePlatform::UsageReport &report,
                     std::chrono::steady_clock::time_point start)
{
    return report.counts + " from " + report.holder + " with number "
            + std::to_string(report.fencingNumber) + " at "
            + std::to_string(duration_cast<milliseconds>(report.acceptedAt - start).count())
            + " ms";
}

} // namespace

ReportRun::ReportRun(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
    , m_fleet(settings())
{ }

std::vector<std::string> ReportRun::run()
{
    m_fleet.startUp();
    UnreliableCalls calls(m_seed);
    FleetLoad load(m_fleet, m_seed);
    m_fleet.site().platform().setCallFates(&calls);
    m_start = std::chrono::steady_clock::now();
    const auto startTime = std::chrono::system_clock::now().time_since_epoch();
    const auto isOver = [this](milliseconds time) {
        return std::chrono::steady_clock::now() >= m_start + time;
    };
    // If a holder is late, its successor may find nothing that it can still report again.
    while (!isOver(killTime) || (repeatCount() == 0 && !isOver(maxKillTime)))
        disturbNextWindow();
    std::this_thread::sleep_for(settleTime);
    load.finish();
    m_fleet.site().platform().setCallFates(nullptr);
    std::vector<std::string> violations = differingReports();
    std::ranges::copy(sharedFencingNumbers(), std::back_inserter(violations));
    for (const std::string &instance : m_fleet.endedDaemons())
        violations.push_back(instance + " has ended by itself");
    if (repeatCount() == 0)
        violations.emplace_back("no window was reported again, so nothing was compared");
    std::cout << "report seed " << m_seed << ": " << load.callCount() << " calls, "
              << load.servedCount() << " served, " << m_killCount << " kills, " << m_windowCount
              << " windows, " << repeatCount() << " reported again, " << otherThanStored()
              << " reported otherwise than stored, " << violations.size() << " violations"
              << std::endl;
    if (violations.empty())
        return violations;
    m_fleet.site().keepLogs();
    violations.push_back("started at "
                         + std::to_string(duration_cast<milliseconds>(startTime).count())
                         + "; logs in " + m_fleet.site().folder().string());
    violations.insert(violations.end(), m_description.begin(), m_description.end());
    return violations;
}

// The counts of a daemon that is paused over the end of a window arrive after its resumption, so
// some arrive while the holder stores their sum.
void ReportRun::disturbNextWindow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const milliseconds window = settings().usageWindow;
    const auto end =
            std::chrono::steady_clock::now() + (window - duration_cast<milliseconds>(now) % window);
    std::set<unsigned> daemons;
    while (daemons.size() < pausedDaemons) {
        daemons.insert(static_cast<unsigned>(
                draw(LargeFleet::daemonsPerZone, LargeFleet::daemonCount - 1)));
    }
    std::this_thread::sleep_until(end - milliseconds(draw(minPauseLeadMs, maxPauseLeadMs)));
    const std::size_t reports = m_fleet.site().platform().usageReports().size();
    for (const unsigned daemon : daemons)
        m_fleet.pause(daemon);
    std::this_thread::sleep_until(end + settleDelay);
    for (const unsigned daemon : daemons) {
        std::this_thread::sleep_for(milliseconds(draw(0, maxResumeDelayMs)));
        m_fleet.resume(daemon);
    }
    if (m_windowsBeforeKill > 0) {
        --m_windowsBeforeKill;
        return;
    }
    const auto left =
            end + window - milliseconds(maxPauseLeadMs) - std::chrono::steady_clock::now();
    const auto report = m_fleet.site().platform().waitForUsageReport(
            reports, duration_cast<milliseconds>(left));
    if (!report)
        return;
    std::this_thread::sleep_for(milliseconds(draw(0, maxKillDelayMs)));
    killHolder(report->holder);
    m_windowsBeforeKill = draw(minWindowsBeforeKill, maxWindowsBeforeKill);
}

void ReportRun::killHolder(const std::string &holder)
{
    std::vector<unsigned> daemons{m_fleet.daemonNumber(holder)};
    // Sometimes the readers end with it.
    if (draw(0, 2) == 0)
        daemons = m_fleet.readerZoneDaemons();
    const auto at = duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start);
    m_description.push_back(std::to_string(at.count()) + " ms: " + holder + " is killed, "
                            + std::to_string(daemons.size()) + " in all");
    ++m_killCount;
    m_fleet.kill(daemons);
    std::this_thread::sleep_for(milliseconds(draw(0, 1) * draw(0, maxRestartDelayMs)));
    m_fleet.restart(daemons);
}

std::vector<std::string> ReportRun::differingReports()
{
    std::map<std::uint64_t, FakePlatform::UsageReport> first;
    std::vector<std::string> violations;
    for (const FakePlatform::UsageReport &report : m_fleet.site().platform().usageReports()) {
        const auto [entry, isNew] = first.try_emplace(report.window, report);
        if (report.counts != entry->second.counts) {
            violations.push_back("window " + std::to_string(report.window) + ": "
                                 + describe(entry->second, m_start) + ", then "
                                 + describe(report, m_start));
        }
    }
    m_windowCount = first.size();
    if (violations.empty())
        return violations;
    for (const std::string &record : m_fleet.site().platform().values("usage-fixed"))
        m_description.push_back("stored: " + record);
    return violations;
}

std::size_t ReportRun::repeatCount()
{
    std::map<std::uint64_t, std::uint64_t> firstNumbers;
    std::size_t count = 0;
    for (const FakePlatform::UsageReport &report : m_fleet.site().platform().usageReports()) {
        const auto [entry, isNew] = firstNumbers.try_emplace(report.window, report.fencingNumber);
        count += entry->second == report.fencingNumber ? 0 : 1;
    }
    return count;
}

unsigned ReportRun::otherThanStored()
{
    FakePlatform &platform = m_fleet.site().platform();
    std::map<std::uint64_t, std::string> stored;
    for (const std::string &record : platform.values("usage-fixed")) {
        const nlohmann::json usage = nlohmann::json::parse(record);
        stored.try_emplace(usage.at("window").get<std::uint64_t>(), usage.at("counts").dump());
    }
    const std::vector<FakePlatform::UsageReport> reports = platform.usageReports();
    return static_cast<unsigned>(std::ranges::count_if(reports, [&stored](const auto &report) {
        const auto record = stored.find(report.window);
        return record == stored.end() || record->second != report.counts;
    }));
}

std::vector<std::string> ReportRun::sharedFencingNumbers()
{
    std::map<std::uint64_t, std::string> holders;
    std::vector<std::string> violations;
    for (const FakePlatform::UsageReport &report : m_fleet.site().platform().usageReports()) {
        const auto [entry, isNew] = holders.try_emplace(report.fencingNumber, report.holder);
        if (entry->second != report.holder) {
            violations.push_back("number " + std::to_string(report.fencingNumber) + " from "
                                 + entry->second + " and " + report.holder);
        }
    }
    return violations;
}

} // namespace monsoonsail
