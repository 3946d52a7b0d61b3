#include "tests/processes/versioned_site.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace monsoonsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds readyTimeout{10};
constexpr seconds exitTimeout{5};
constexpr seconds streamStartTimeout{5};
constexpr unsigned maxCallerDelayMs = 60;

void addEngines(VersionedSite::Engines &engines, FakePlatform &platform,
                const StreamEngine::Settings &settings)
{
    for (unsigned number = 1; number <= VersionedSite::enginesPerVersion; ++number) {
        engines.push_back(std::make_unique<StreamEngine>(
                platform, settings.version + "-" + std::to_string(number), "model", settings));
    }
}

unsigned portOf(const std::string &address)
{
    return static_cast<unsigned>(std::stoul(address.substr(address.find(':') + 1)));
}

} // namespace

VersionedSite::VersionedSite(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
    , m_firstDaemonLink(portOf(m_site.platform().address()))
{
    platform().put("keyed.op", "config", streamSiteConfiguration());
}

VersionedSite::~VersionedSite()
{
    joinCallers();
}

void VersionedSite::addOldEngines()
{
    addEngines(m_oldEngines, platform(),
               {.events = m_eventsPerStream,
                .version = "v1",
                .closesAfterStatusChecks = m_closesAfterStatusChecks});
}

void VersionedSite::addNewEngines()
{
    addEngines(m_newEngines, platform(),
               {.events = m_eventsPerStream,
                .version = "v2",
                .closesAfterStatusChecks = m_closesAfterStatusChecks});
}

void VersionedSite::startUp()
{
    m_site.addDaemon("entry-1", {}, m_firstDaemonLink.address());
    for (unsigned daemon = 1; daemon < daemonCount; ++daemon)
        m_site.addDaemon();
    waitUntilReady();
}

void VersionedSite::startCallers(unsigned count, const StreamCaller::Plan &plan,
                                 std::optional<unsigned> firstDaemon)
{
    for (unsigned number = 0; number < count; ++number) {
        StreamCaller::Plan ownPlan = plan;
        ownPlan.id += std::to_string(m_seed) + "-" + std::to_string(number);
        ownPlan.firstDaemon = firstDaemon.value_or(number);
        ownPlan.areReady = m_areReady;
        ownPlan.events = m_eventsPerStream;
        for (const auto &daemon : m_site.daemons())
            ownPlan.ports.push_back(daemon->callerPort());
        if (plan.firstReadTime)
            ownPlan.firstReadTime = *plan.firstReadTime + milliseconds(randomBetween(0, 600));
        StreamCaller &caller = m_callers.emplace_back(ownPlan);
        m_threads.emplace_back([&caller, delay = randomBetween(0, maxCallerDelayMs)] {
            std::this_thread::sleep_for(milliseconds(delay));
            caller.run();
        });
    }
    const bool haveBegun = waitUntil(streamStartTimeout, [&] {
        std::size_t runs = 0;
        forEachEngine([&runs](const StreamEngine &engine) { runs += engine.runs().size(); });
        return runs >= m_callers.size();
    });
    if (!haveBegun)
        throw std::runtime_error("the streams don't begin; logs in " + m_site.folder().string());
}

void VersionedSite::joinCallers()
{
    m_threads.clear();
}

void VersionedSite::killDaemon(unsigned daemon)
{
    m_areReady.at(daemon) = false;
    m_site.daemons().at(daemon)->signal(SIGKILL);
    m_site.daemons().at(daemon)->waitForExit(exitTimeout);
}

void VersionedSite::startDaemon(unsigned daemon)
{
    m_site.daemons().at(daemon)->start();
}

void VersionedSite::pauseDaemon(unsigned daemon)
{
    m_areReady.at(daemon) = false;
    m_site.daemons().at(daemon)->signal(SIGSTOP);
}

void VersionedSite::resumeDaemon(unsigned daemon)
{
    m_site.daemons().at(daemon)->signal(SIGCONT);
}

void VersionedSite::killAll()
{
    for (std::atomic<bool> &isReady : m_areReady)
        isReady = false;
    for (const auto &daemon : m_site.daemons())
        daemon->signal(SIGKILL);
    for (const auto &daemon : m_site.daemons())
        daemon->waitForExit(exitTimeout);
}

void VersionedSite::startAll()
{
    for (const auto &daemon : m_site.daemons())
        daemon->start();
}

void VersionedSite::waitUntilReady()
{
    for (const auto &daemon : m_site.daemons()) {
        if (waitUntil(readyTimeout, [&daemon] { return daemon->isReady(); }))
            continue;
        m_site.keepLogs();
        throw std::runtime_error(daemon->instance() + " is not ready; logs in "
                                 + m_site.folder().string());
    }
    for (std::atomic<bool> &isReady : m_areReady)
        isReady = true;
}

void VersionedSite::forEachEngine(const std::function<void(StreamEngine &)> &action)
{
    for (const Engines *engines : {&m_oldEngines, &m_newEngines}) {
        for (const auto &engine : *engines)
            action(*engine);
    }
}

void VersionedSite::restoreStore(std::chrono::steady_clock::time_point copiedAt)
{
    platform().setHealth(FakePlatform::Health::Refusing);
    sleepBetween(20, 300);
    platform().restore(copiedAt);
    platform().setHealth(FakePlatform::Health::Up);
    platform().put("keyed.op", "config", streamSiteConfiguration());
    forEachEngine([](StreamEngine &engine) { engine.list(); });
}

void VersionedSite::sleepBetween(unsigned minMs, unsigned maxMs)
{
    std::this_thread::sleep_for(milliseconds(randomBetween(minMs, maxMs)));
}

unsigned VersionedSite::randomBetween(unsigned min, unsigned max)
{
    return std::uniform_int_distribution<unsigned>(min, max)(m_random);
}

bool VersionedSite::hasRun(const std::string &request) const
{
    const auto hasRunAt = [&request](const std::unique_ptr<StreamEngine> &engine) {
        const auto runs = engine->runs();
        return std::ranges::find(runs, request, &StreamEngine::Run::request) != runs.end();
    };
    return std::ranges::any_of(m_oldEngines, hasRunAt)
            || std::ranges::any_of(m_newEngines, hasRunAt);
}

std::string VersionedSite::logs()
{
    std::string text;
    for (const auto &daemon : m_site.daemons())
        text += daemon->log();
    return text;
}

} // namespace monsoonsail
