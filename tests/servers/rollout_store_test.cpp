#include "servers/rollout/rollout_record.h"
#include "tests/servers/rollout_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks what the store and the operator are told of a roll-out while the store fails, loses
/// answers or comes back from an older copy.
class RolloutStoreTest : public RolloutFixture
{
    CPPUNIT_TEST_SUITE(RolloutStoreTest);
    CPPUNIT_TEST(rollBackIsReportedAfterAnOutageOfTheStore);
    CPPUNIT_TEST(targetThatTurnsBadInAnOutageIsNotCompleted);
    CPPUNIT_TEST(lostAnswersWriteNothingTwice);
    CPPUNIT_TEST(restoredStoreGetsWhatItLacks);
    CPPUNIT_TEST(copyWithAnEarlierOrderStartsNothing);
    CPPUNIT_TEST(conflictingDecisionIsSettledByTheStore);
    CPPUNIT_TEST(recordIsReadAsWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests to a bad target while the holder can't write.
    void rollBackIsReportedAfterAnOutageOfTheStore()
    {
        startSite();
        m_model.target = {.failures = 0.5, .turnsAt = seconds(3)};
        order("v2");
        run(seconds(2));
        m_store.error = StoreError::Unreachable;
        run(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::string("running v2"), lastStatus());
        m_store.error = {};
        run(seconds(7));
        checkEnded("rolled-back v2");
        checkExposure();
    }

    // Guards against a decision of before that is written when the store is back.
    void targetThatTurnsBadInAnOutageIsNotCompleted()
    {
        startSite();
        m_model.target = {.failures = 0.5, .turnsAt = seconds(12)};
        order("v2");
        run(seconds(10));
        m_store.error = StoreError::Unreachable;
        run(seconds(4));
        m_store.error = {};
        run(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::string("rolled-back v2"), lastStatus());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, statusCount("completed v2"));
    }

    // Guards against a second record of a call whose answer was lost, and against an old one that
    // is carried out late.
    void lostAnswersWriteNothingTwice()
    {
        for (const StoreLink::Fate fate : {StoreLink::Fate::AnswerLost, StoreLink::Fate::Late}) {
            restart();
            startSite();
            unsigned calls = 0;
            StoreLink &store = *holder().store;
            std::vector<StoreLink::Task> late;
            store.delay = [&late](StoreLink::Task task) { late.push_back(std::move(task)); };
            store.nextFate = [&calls, fate](std::string_view topic) {
                const bool isOurs = topic == rolloutTopic || topic == OrderCodec::statusTopic;
                return isOurs && ++calls % 2 == 1 ? fate : StoreLink::Fate::Answered;
            };
            order("v2");
            run(seconds(12));
            for (const StoreLink::Task &task : late)
                task();
            run(seconds(5));
            checkEnded("completed v2");
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_statuses.size());
        }
    }

    // Guards against a store that shows an earlier state than the operator was told, and against an
    // order that is carried out twice.
    void restoredStoreGetsWhatItLacks()
    {
        for (const int ageS : {1, 3, 20}) {
            for (const int atS : {2, 8, 14, 18}) {
                restart();
                startSite();
                order("v2");
                run(seconds(atS));
                restoreStore(seconds(ageS));
                run(milliseconds(600));
                if (m_store.topics["keyed.op"].empty())
                    order("v2");
                run(seconds(20));
                CPPUNIT_ASSERT_EQUAL(std::string("completed v2"), lastStatus());
                CPPUNIT_ASSERT(storedPhase() == RolloutPhase::Completed);
                const auto completed = std::ranges::find(m_statuses, "completed v2", &Status::text);
                CPPUNIT_ASSERT(completed->at <= m_dueAt);
                CPPUNIT_ASSERT(
                        std::ranges::find(completed, m_statuses.end(), "running v2", &Status::text)
                        == m_statuses.end());
            }
        }
    }

    // Guards against an earlier order that looks like a later one, as it is in a copy of the store
    // which lacks the order of the present roll-out.
    void copyWithAnEarlierOrderStartsNothing()
    {
        startSite();
        order("v2", seconds(12));
        run(seconds(13));
        removeEndpoint("old");
        listEndpoint("newer", "v3");
        run(seconds(3));
        order("v3", seconds(12));
        run(seconds(3));
        restoreStore(seconds(5));
        run(seconds(10));
        checkEnded("completed v3");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, statusCount("running v2"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, statusCount("rolled-back v3"));
    }

    // Guards against two reports that contradict each other, after a holder that was frozen and the
    // one that stood in have decided differently.
    void conflictingDecisionIsSettledByTheStore()
    {
        startSite();
        m_model.target = {.failures = 0.5, .turnsAt = milliseconds(7800)};
        order("v2", seconds(12));
        run(milliseconds(7600));
        std::vector<LogRecord> &records = m_store.topics[std::string(rolloutTopic)];
        LogRecord record = records.back();
        auto state = *decodeRolloutRecord("books", record.value);
        CPPUNIT_ASSERT(state.phase == RolloutPhase::Shifting);
        state.phase = RolloutPhase::Completed;
        ++state.change;
        record.value = encodeRolloutRecord(state);
        records.push_back(record);
        run(seconds(5));
        checkEnded("completed v2");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, statusCount("rolled-back v2"));
    }

    void recordIsReadAsWritten()
    {
        const RolloutState state{.service = ServiceId("books"),
                                 .target = SoftwareVersion("v2"),
                                 .phase = RolloutPhase::Shifting,
                                 .order = LogPosition{.era = 2, .offset = 17}.value(),
                                 .change = 3,
                                 .orderedAt = startTime,
                                 .dueAt = startTime + seconds(12),
                                 .oldVersions = {SoftwareVersion("v0"), SoftwareVersion("v1")}};
        const auto read = decodeRolloutRecord("books", encodeRolloutRecord(state));
        CPPUNIT_ASSERT(read && read->phase == state.phase && read->order == state.order
                       && read->change == state.change && read->dueAt == state.dueAt
                       && read->orderedAt == state.orderedAt && read->target == state.target
                       && read->oldVersions == state.oldVersions);
        for (const std::string text : {"", "{}", "[1]", R"({"order":1,"target":"v2","phase":9})"})
            CPPUNIT_ASSERT(!decodeRolloutRecord("books", text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutStoreTest);
