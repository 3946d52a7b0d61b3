#include "core/store_error.h"
#include "servers/endpoints/endpoint_feed.h"
#include "servers/endpoints/endpoint_update.h"
#include "tests/servers/incarnation_codec.h"
#include "tests/servers/memory_log.h"
#include "tests/servers/recording_log.h"
#include "tests/servers/serving_fixture.h"
#include "tests/servers/simulated_fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <limits>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards the list of endpoints where whole reads, leaving endpoints and takeovers meet.
class ListReviewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListReviewTest);
    CPPUNIT_TEST(wholeReadEndsTheListingOfALeavingEndpoint);
    CPPUNIT_TEST(replacedIncarnationIsNotListedAgain);
    CPPUNIT_TEST(entriesMayHaveLapsedSinceAnyInstanceReadTheStore);
    CPPUNIT_TEST(entriesMayHaveLapsedBetweenTwoReadsOfPeers);
    CPPUNIT_TEST(repeatedReadOfAnInstanceThatDoesNotFollowIsWhole);
    CPPUNIT_TEST(firstSendsComeBeforeRepeats);
    CPPUNIT_TEST(takeoverWithoutBacklogIsDoneByAFew);
    CPPUNIT_TEST(takeoverWithABacklogIsDoneByAFew);
    CPPUNIT_TEST_SUITE_END();

    static std::set<std::string> readers(SimulatedFleet &fleet)
    {
        std::set<std::string> names;
        for (const std::string &name : fleet.names()) {
            if (fleet.process(name) != nullptr && fleet.process(name)->isReader())
                names.insert(name);
        }
        return names;
    }

    static std::vector<EndpointId> settle(SimulatedFleet &fleet, unsigned endpoints)
    {
        std::vector<EndpointId> ids;
        for (unsigned index = 0; index < endpoints; ++index)
            ids.push_back(fleet.endpoints().start("e" + std::to_string(index)));
        fleet.advance(seconds(8));
        for (const std::string &name : fleet.names())
            fleet.process(name)->refresh();
        fleet.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers(fleet).size());
        return ids;
    }

    /// Instances take over from a failed reader one after the other (docs/design.md, section 3). A
    /// response of the store has 1 MB, some 4,500 entries of 300 endpoints; here a tenth of both.
    static void takeOver(std::size_t maxRecordsPerRead)
    {
        SimulatedFleet fleet({.instances = 118, .drainTime = seconds(4)});
        settle(fleet, 30);
        fleet.store().setMaxRecordsPerRead(maxRecordsPerRead);
        fleet.advance(seconds(50));
        const std::uint64_t readsBefore = fleet.listReads();
        fleet.endpoints().leave("e0");
        fleet.advance(microseconds(100));
        for (const std::string &name : readers(fleet))
            fleet.kill(name);
        std::size_t most = 0;
        for (int step = 0; step < 80; ++step) {
            fleet.advance(milliseconds(100));
            most = std::max(most, readers(fleet).size());
        }
        std::ostringstream text;
        text << "at most " << most << " readers at once, " << fleet.listReads() - readsBefore
             << " reads in 8 s, " << fleet.lateUses().size() << " late uses";
        std::cout << "\n  " << text.str() << std::flush;
        CPPUNIT_ASSERT_MESSAGE(text.str(), fleet.lateUses().empty());
        constexpr std::size_t aFew = 12; // A tenth of the fleet.
        CPPUNIT_ASSERT_MESSAGE(text.str(), most <= aFew);
    }

public:
    // The endpoint says in an answer that it leaves, while it is still listed; the bulletins with
    // the removal of its entry get lost.
    void wholeReadEndsTheListingOfALeavingEndpoint()
    {
        ServingFixture fixture;
        IncarnationCodec codec;
        EndpointFeed feed(fixture.context, codec);
        MemoryLog store;
        RecordingLog log;
        std::vector<std::function<void()>> tasks;
        TopicFollower follower(
                "keyed.servers", {}, store, feed,
                {.now = [&fixture] { return fixture.now; },
                 .at = [&tasks](Instant, std::function<void()> task) { tasks.push_back(task); }},
                log);
        EndpointRegistry &endpoints = fixture.context.endpoints;
        store.topics["keyed.servers"] = {{.offset = 0, .key = "e9", .value = "1/1/0"}};
        follower.start();
        store.answerPending();
        const EndpointId id = endpointId("e9", 1);
        endpoints.markLeaving(id, fixture.now);
        store.topics["keyed.servers"].push_back({.offset = 1, .key = "e9", .value = ""});
        follower.refresh();
        tasks.back()();
        store.answerPending();
        CPPUNIT_ASSERT_EQUAL(EndpointRegistry().listChecksum(), endpoints.listChecksum());
        fixture.advance(seconds(61));
        endpoints.removeExpired(fixture.now);
        CPPUNIT_ASSERT(endpoints.find(id) == nullptr);
    }

    // An instance that doesn't know the restart yet tells the others that the earlier incarnation
    // leaves.
    void replacedIncarnationIsNotListedAgain()
    {
        const Instant now = instantFromMicroseconds(1'000'000'000);
        const EndpointListing old{
                .instance = "e9", .startedMs = 1, .sequence = 5, .logOffset = 100};
        const EndpointListing restarted{
                .instance = "e9", .startedMs = 2, .sequence = 1, .logOffset = 110};
        EndpointRegistry expected;
        expected.applyListing(restarted, now);
        EndpointRegistry endpoints;
        endpoints.applyListing(old, now);
        endpoints.applyListing(restarted, now);
        CPPUNIT_ASSERT_EQUAL(expected.listChecksum(), endpoints.listChecksum());
        applyEndpointUpdate({.listing = old, .state = EndpointState::Leaving, .isListed = true}, {},
                            endpoints, now);
        CPPUNIT_ASSERT_EQUAL(expected.listChecksum(), endpoints.listChecksum());
    }

    // An instance that reads the store rarely makes its first failing call late in an outage.
    void entriesMayHaveLapsedSinceAnyInstanceReadTheStore()
    {
        ServingFixture fixture;
        IncarnationCodec codec;
        EndpointFeed feed(fixture.context, codec);
        feed.onValueChanged({.offset = 0, .key = "e1", .value = "1/1/0"}, fixture.now);
        feed.onCaughtUp(1, fixture.now, fixture.now);
        feed.recordStoreReadByPeer(fixture.now);
        fixture.advance(seconds(5));
        const Instant since = fixture.now;
        fixture.advance(milliseconds(500));
        feed.onReadFailed(std::make_error_code(std::errc::timed_out), since, fixture.now);
        fixture.advance(milliseconds(100));
        feed.onKeyRemoved("e1", 1, fixture.now);
        feed.onCaughtUp(2, fixture.now, fixture.now);
        CPPUNIT_ASSERT(fixture.context.endpoints.find(endpointId("e1", 1))->isUsable(fixture.now));
    }

    // Both readers restart in an outage, so nobody gives the lapsed entries a grace, and this
    // instance, which has made no call meanwhile, takes them for missed changes.
    void entriesMayHaveLapsedBetweenTwoReadsOfPeers()
    {
        ServingFixture fixture;
        IncarnationCodec codec;
        EndpointFeed feed(fixture.context, codec);
        feed.onValueChanged({.offset = 0, .key = "e1", .value = "1/1/0"}, fixture.now);
        feed.onCaughtUp(1, fixture.now, fixture.now);
        feed.recordStoreReadByPeer(fixture.now);
        fixture.advance(seconds(6));
        feed.recordStoreReadByPeer(fixture.now);
        fixture.advance(milliseconds(700));
        feed.onKeyRemoved("e1", 1, fixture.now);
        feed.onCaughtUp(2, fixture.now, fixture.now);
        CPPUNIT_ASSERT(fixture.context.endpoints.find(endpointId("e1", 1))->isUsable(fixture.now));
    }

    // The answer to a whole read is lost. What follows the read before it is long and cut off, so
    // it names an endpoint that has gone since, but not its end.
    void repeatedReadOfAnInstanceThatDoesNotFollowIsWhole()
    {
        ServingFixture fixture;
        IncarnationCodec codec;
        EndpointFeed feed(fixture.context, codec);
        MemoryLog store;
        RecordingLog log;
        std::vector<std::function<void()>> tasks;
        TopicFollower follower(
                "keyed.servers", {}, store, feed,
                {.now = [&fixture] { return fixture.now; },
                 .at = [&tasks](Instant, std::function<void()> task) { tasks.push_back(task); }},
                log);
        std::vector<LogRecord> &records = store.topics["keyed.servers"];
        records = {{.offset = 0, .key = "e7", .value = "1/1/0"}};
        follower.start();
        store.answerPending();
        follower.setActive(false);
        records.push_back({.offset = 1, .key = "e9", .value = "1/1/0"});
        records.push_back({.offset = 2, .key = "e7", .value = "1/2/0"});
        records.push_back({.offset = 3, .key = "e9", .value = ""});
        store.maxRecordsPerRead = 2;
        follower.refresh();
        tasks.back()();
        store.error = StoreError::Unreachable;
        store.answerPending();
        store.error = {};
        tasks.back()();
        store.answerPending();
        const Endpoint *gone = fixture.context.endpoints.find(endpointId("e9", 1));
        CPPUNIT_ASSERT(gone == nullptr || !gone->isUsable(fixture.now));
    }

    // A bulletin holds 60 updates, and the control plane sends one in each tick of 100 ms.
    void firstSendsComeBeforeRepeats()
    {
        constexpr std::size_t endpointCount = 600;
        constexpr std::size_t updatesPerBulletin = 60;
        Instant now = instantFromMicroseconds(1'000'000'000);
        EndpointRegistry endpoints;
        EndpointUpdateQueue queue(endpoints);
        for (std::size_t index = 0; index < endpointCount; ++index) {
            EndpointListing listing{
                    .instance = "e" + std::to_string(index), .startedMs = 1, .isLeaving = true};
            endpoints.applyListing(listing, now);
            queue.add(endpointId(listing.instance, 1));
        }
        std::set<std::string> sent;
        std::size_t ticks = 0;
        while (sent.size() < endpointCount && ticks < 1000) {
            ++ticks;
            for (const EndpointUpdate &update : queue.takeDue(now))
                sent.insert(update.listing.instance);
            now += milliseconds(100);
        }
        CPPUNIT_ASSERT_EQUAL(endpointCount / updatesPerBulletin, ticks);
    }

    void takeoverWithoutBacklogIsDoneByAFew() { takeOver(std::numeric_limits<std::size_t>::max()); }
    void takeoverWithABacklogIsDoneByAFew() { takeOver(450); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListReviewTest);

/// Guards the drain time of an engine against runs that go on at their leaving source.
class StoppedRunReviewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoppedRunReviewTest);
    CPPUNIT_TEST(stoppedRunIsNotSentBackAfterTheDrainTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // The engine is reclaimed later than the drain time after its notice, so its runs are moved
    // that late, and the copy of the memory fails.
    void stoppedRunIsNotSentBackAfterTheDrainTime()
    {
        ServingFixture fixture;
        const RequestNumber request = fixture.arrive("/plan/1");
        fixture.progress(request, 3, 3);
        const EndpointId source = fixture.latestAttempt(request).endpoint;
        const Instant noticeAt = fixture.now;
        fixture.listEndpoint(fixture.latestAttempt(request).instance, "model", true,
                             milliseconds(3500));
        for (EventId event = 4; fixture.traffic.moves.empty(); ++event) {
            fixture.progress(request, 1, event);
            fixture.advance(milliseconds(100));
        }
        const RunMove move = fixture.traffic.moves.back();
        fixture.core.handleMoveEnd({.request = move.request,
                                    .attempt = move.attempt,
                                    .result = RunMoveResult::Stopped,
                                    .handle = "h1"},
                                   fixture.now);
        fixture.endAttempt(request, AttemptResult::Interrupted);
        const bool isLate = fixture.now > noticeAt + fixture.context.limits.drainTime;
        const bool isSentBack = fixture.traffic.starts.size() > 1
                && fixture.latestAttempt(request).endpoint == source;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toSeconds(fixture.now - noticeAt))
                                       + " s after the notice the run goes on at its source",
                               !isLate || !isSentBack);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoppedRunReviewTest);
