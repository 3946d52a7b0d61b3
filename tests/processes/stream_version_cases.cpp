#include "tests/processes/stream_version_cases.h"

#include <chrono>
#include <thread>

namespace monsoonsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr unsigned streamCount = 32;

void start(VersionedSite &site, const StreamCaller::Plan &plan = {.id = "s"})
{
    site.addOldEngines();
    site.addNewEngines();
    site.startUp();
    site.startCallers(streamCount, plan);
}

/// Waits until streams are in their middle, and instances have recorded their begin.
void sleepIntoStreams(VersionedSite &site)
{
    site.sleepBetween(500, 1000);
}

void restartAll(VersionedSite &site)
{
    site.killAll();
    site.sleepBetween(0, 200);
    site.startAll();
    site.waitUntilReady();
}

void oneEngineCrashes(VersionedSite &site)
{
    start(site);
    site.sleepBetween(100, 1000);
    site.oldEngines().at(site.randomBetween(0, 2))->crash();
}

void enginesCrash(VersionedSite &site)
{
    start(site);
    site.sleepBetween(100, 800);
    for (const auto &engine : site.oldEngines()) {
        engine->crash();
        site.sleepBetween(0, 300);
    }
}

void enginesCrashAndStartAsNewVersion(VersionedSite &site, milliseconds listingDelay)
{
    start(site);
    site.sleepBetween(100, 800);
    for (const auto &engine : site.oldEngines())
        engine->crash();
    site.sleepBetween(0, 100);
    for (const auto &engine : site.oldEngines())
        engine->start("v2", false);
    std::this_thread::sleep_for(listingDelay);
    for (const auto &engine : site.oldEngines())
        engine->list();
}

void closingEnginesCrashAndStartAsNewVersion(VersionedSite &site)
{
    site.setClosesAfterStatusChecks(true);
    enginesCrashAndStartAsNewVersion(site, seconds(1));
}

void enginesFallSilent(VersionedSite &site)
{
    start(site);
    site.sleepBetween(100, 1000);
    const unsigned engines = site.randomBetween(1, VersionedSite::enginesPerVersion);
    for (unsigned engine = 0; engine < engines; ++engine)
        site.oldEngines().at(engine)->setSilent(true);
    site.sleepBetween(700, 1600);
    for (const auto &engine : site.oldEngines())
        engine->setSilent(false);
}

void enginesBreakOff(VersionedSite &site)
{
    start(site);
    site.sleepBetween(100, 800);
    for (const auto &engine : site.oldEngines()) {
        engine->breakOffStreams();
        site.sleepBetween(0, 100);
    }
}

void oneEngineLeaves(VersionedSite &site)
{
    start(site);
    site.sleepBetween(100, 1000);
    site.oldEngines().at(site.randomBetween(0, 2))->announceLeaving();
}

void enginesLeave(VersionedSite &site)
{
    start(site);
    site.sleepBetween(100, 800);
    for (const auto &engine : site.oldEngines())
        engine->announceLeaving();
    site.sleepBetween(300, 1200);
    for (const auto &engine : site.oldEngines()) {
        engine->unlist();
        engine->crash();
    }
}

void callersReturnToTheirDaemon(VersionedSite &site)
{
    start(site, {.id = "s", .staysAtItsDaemon = true, .firstReadTime = milliseconds(300)});
}

void callersGoToAnotherDaemon(VersionedSite &site)
{
    start(site, {.id = "s", .firstReadTime = milliseconds(400)});
}

/// How engines of v2 join.
enum class Joining {
    BesideOldEngines,
    PartlyInPlace, ///< Two engines of v1 start again as v2 besides.
};

void joinNewEngines(VersionedSite &site, Joining joining)
{
    site.addNewEngines();
    if (joining == Joining::BesideOldEngines)
        return;
    for (const unsigned engine : {0U, 1U}) {
        site.oldEngines().at(engine)->crash();
        site.oldEngines().at(engine)->start("v2");
    }
}

/// The first daemon is out of step while engines of v2 join. Then the daemon through which streams
/// have begun, before that and after, is killed, and they are taken up at the first one.
void daemonIsOutOfStep(VersionedSite &site, Joining joining, void (*takeOut)(VersionedSite &),
                       void (*bringBack)(VersionedSite &))
{
    constexpr unsigned lastDaemon = VersionedSite::daemonCount - 1;
    site.setClosesAfterStatusChecks(true);
    site.setEventsPerStream(260);
    site.addOldEngines();
    site.setClosesAfterStatusChecks(false);
    site.startUp();
    // The first daemon knows by these that the engines close.
    site.startCallers(streamCount / 4, {.id = "f"}, 0);
    site.startCallers(streamCount / 2, {.id = "o"}, lastDaemon);
    site.sleepBetween(100, 300);
    takeOut(site);
    joinNewEngines(site, joining);
    site.sleepBetween(1500, 2000);
    site.startCallers(streamCount, {.id = "s"}, lastDaemon);
    sleepIntoStreams(site);
    const bool isBackFirst = site.randomBetween(0, 1) == 1;
    if (isBackFirst) {
        bringBack(site);
        site.sleepBetween(0, 50);
    }
    site.killDaemon(lastDaemon);
    if (!isBackFirst) {
        site.sleepBetween(0, 500);
        bringBack(site);
    }
}

void daemonStandsStill(VersionedSite &site, Joining joining)
{
    daemonIsOutOfStep(
            site, joining, [](VersionedSite &paused) { paused.pauseDaemon(0); },
            [](VersionedSite &paused) { paused.resumeDaemon(0); });
}

void daemonIsCutOff(VersionedSite &site, Joining joining)
{
    daemonIsOutOfStep(
            site, joining, [](VersionedSite &cut) { cut.cutFirstDaemon(); },
            [](VersionedSite &cut) { cut.reconnectFirstDaemon(); });
}

void daemonIsKilled(VersionedSite &site)
{
    start(site);
    sleepIntoStreams(site);
    site.killDaemon(site.randomBetween(0, 2));
}

void daemonRestarts(VersionedSite &site)
{
    start(site, {.id = "s", .staysAtItsDaemon = true});
    sleepIntoStreams(site);
    const unsigned daemon = site.randomBetween(0, 2);
    site.killDaemon(daemon);
    site.startDaemon(daemon);
    site.waitUntilReady();
}

void allRestart(VersionedSite &site)
{
    start(site);
    sleepIntoStreams(site);
    restartAll(site);
}

void allRestartAfterTheFirstEvents(VersionedSite &site)
{
    start(site);
    site.sleepBetween(50, 60);
    restartAll(site);
}

void oldEnginesEndWhileAllRestart(VersionedSite &site)
{
    start(site);
    sleepIntoStreams(site);
    site.killAll();
    for (const auto &engine : site.oldEngines()) {
        engine->unlist();
        engine->crash();
    }
    site.startAll();
    site.waitUntilReady();
}

void oldEnginesStartAsNewVersionWhileAllRestart(VersionedSite &site, milliseconds listingDelay)
{
    start(site);
    sleepIntoStreams(site);
    site.killAll();
    for (const auto &engine : site.oldEngines()) {
        engine->crash();
        engine->start("v2", false);
    }
    if (listingDelay > milliseconds(0)) {
        site.startAll();
        std::this_thread::sleep_for(listingDelay);
    }
    for (const auto &engine : site.oldEngines())
        engine->list();
    if (listingDelay == milliseconds(0))
        site.startAll();
    site.waitUntilReady();
}

void allRestartTwice(VersionedSite &site)
{
    start(site);
    sleepIntoStreams(site);
    restartAll(site);
    site.sleepBetween(0, 500);
    restartAll(site);
}

void storeIsSilentWhileAllRestart(VersionedSite &site)
{
    start(site);
    sleepIntoStreams(site);
    site.platform().setHealth(FakePlatform::Health::Silent);
    site.killAll();
    site.startAll();
    std::this_thread::sleep_for(seconds(1));
    site.platform().setHealth(FakePlatform::Health::Up);
    site.waitUntilReady();
}

/// The copy may be of a time at which there were no engines of v2, or no streams.
void storeComesBackFromACopy(VersionedSite &site,
                             void (*restart)(VersionedSite &, steady_clock::time_point))
{
    site.addOldEngines();
    site.startUp();
    auto copiedAt = steady_clock::now();
    site.addNewEngines();
    site.sleepBetween(700, 900);
    if (site.randomBetween(0, 2) == 0)
        copiedAt = steady_clock::now();
    site.startCallers(streamCount, {.id = "s"});
    sleepIntoStreams(site);
    restart(site, copiedAt);
}

void storeIsRestoredBeforeTheKill(VersionedSite &site, steady_clock::time_point copiedAt)
{
    site.restoreStore(copiedAt);
    site.sleepBetween(0, 300);
    restartAll(site);
}

void storeIsRestoredWhileAllAreDown(VersionedSite &site, steady_clock::time_point copiedAt)
{
    site.killAll();
    site.restoreStore(copiedAt);
    site.startAll();
    site.waitUntilReady();
}

void storeIsRestoredAfterTheStart(VersionedSite &site, steady_clock::time_point copiedAt)
{
    site.killAll();
    site.startAll();
    site.sleepBetween(0, 400);
    site.restoreStore(copiedAt);
    site.waitUntilReady();
}

/// Streams began after the copy, others after the restore, and the store is sound again when the
/// instances are killed.
void allRestartAfterARestore(VersionedSite &site)
{
    site.setEventsPerStream(260);
    site.addOldEngines();
    site.addNewEngines();
    site.startUp();
    site.sleepBetween(500, 700);
    const auto copiedAt = steady_clock::now();
    site.startCallers(streamCount, {.id = "s"});
    sleepIntoStreams(site);
    site.restoreStore(copiedAt);
    site.sleepBetween(900, 1100);
    site.startCallers(streamCount, {.id = "n"});
    site.sleepBetween(900, 1100);
    restartAll(site);
}

void storeDropsItsHistory(VersionedSite &site)
{
    start(site);
    sleepIntoStreams(site);
    site.killAll();
    site.platform().dropHistory();
    site.startAll();
    site.waitUntilReady();
}

void onlyVersionRestarts(VersionedSite &site)
{
    site.addOldEngines();
    site.startUp();
    site.startCallers(streamCount, {.id = "s"});
    site.sleepBetween(100, 1000);
    restartAll(site);
}

} // namespace

std::span<const StreamVersionCase> troubledEngineCases()
{
    static const std::vector<StreamVersionCase> cases{
            {"one engine crashes", oneEngineCrashes, true, true},
            {"all engines of v1 crash", enginesCrash, false, true},
            {"all engines of v1 crash and start as v2, listed at once",
             [](VersionedSite &site) { enginesCrashAndStartAsNewVersion(site, milliseconds(0)); },
             false, true},
            {"all engines of v1 crash and start as v2, listed after 1 s",
             [](VersionedSite &site) { enginesCrashAndStartAsNewVersion(site, seconds(1)); }, false,
             true},
            {"all engines of v1, which close after checks, crash and start as v2, listed after 1 s",
             closingEnginesCrashAndStartAsNewVersion, false, true},
            {"engines of v1 fall silent", enginesFallSilent, false, true},
            {"engines of v1 break off", enginesBreakOff, true, true},
            {"one engine leaves", oneEngineLeaves, true, true},
            {"all engines of v1 leave", enginesLeave, false, true}};
    return cases;
}

std::span<const StreamVersionCase> takeUpCases()
{
    static const std::vector<StreamVersionCase> cases{
            {"connections break, same daemon", callersReturnToTheirDaemon, true, true},
            {"connections break, another daemon", callersGoToAnotherDaemon, true, true},
            {"daemon killed, another daemon", daemonIsKilled, true, true},
            {"daemon killed and started, same daemon", daemonRestarts, true, true}};
    return cases;
}

std::span<const StreamVersionCase> outOfStepCases()
{
    static const std::vector<StreamVersionCase> cases{
            {"engines of v2 join while a daemon stands still",
             [](VersionedSite &site) { daemonStandsStill(site, Joining::BesideOldEngines); }, true,
             true},
            {"engines of v2 join while a daemon is cut off",
             [](VersionedSite &site) { daemonIsCutOff(site, Joining::BesideOldEngines); }},
            {"engines of v1 become v2 while a daemon stands still",
             [](VersionedSite &site) { daemonStandsStill(site, Joining::PartlyInPlace); }},
            {"engines of v1 become v2 while a daemon is cut off",
             [](VersionedSite &site) { daemonIsCutOff(site, Joining::PartlyInPlace); }}};
    return cases;
}

std::span<const StreamVersionCase> lostInstancesCases()
{
    static const std::vector<StreamVersionCase> cases{
            {"all killed", allRestart, true, true},
            {"all killed 30 ms after the first events", allRestartAfterTheFirstEvents},
            {"all killed, v1 gone meanwhile", oldEnginesEndWhileAllRestart, false, true, true},
            {"all killed, engines of v1 back as v2, listed at once",
             [](VersionedSite &site) {
                 oldEnginesStartAsNewVersionWhileAllRestart(site, milliseconds(0));
             },
             false, true, true},
            {"all killed, engines of v1 back as v2, listed after 1 s",
             [](VersionedSite &site) {
                 oldEnginesStartAsNewVersionWhileAllRestart(site, seconds(1));
             },
             false, true},
            {"all killed twice", allRestartTwice, true, true}};
    return cases;
}

std::span<const StreamVersionCase> lostStoreCases()
{
    static const std::vector<StreamVersionCase> cases{
            {"all killed, store silent until 1 s after the start", storeIsSilentWhileAllRestart},
            {"all killed after the store came back from a copy",
             [](VersionedSite &site) {
                 storeComesBackFromACopy(site, storeIsRestoredBeforeTheKill);
             }},
            {"all killed, store back from a copy meanwhile",
             [](VersionedSite &site) {
                 storeComesBackFromACopy(site, storeIsRestoredWhileAllAreDown);
             }},
            {"all killed, store back from a copy after the start",
             [](VersionedSite &site) {
                 storeComesBackFromACopy(site, storeIsRestoredAfterTheStart);
             }},
            {"all killed 2 s after the store came back from a copy", allRestartAfterARestore, true,
             true},
            {"all killed, history of the store dropped", storeDropsItsHistory}};
    return cases;
}

std::span<const StreamVersionCase> onlyVersionCases()
{
    static const std::vector<StreamVersionCase> cases{
            {"all killed before one version", onlyVersionRestarts, true, true}};
    return cases;
}

} // namespace monsoonsail
