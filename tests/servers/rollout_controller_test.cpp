#include "tests/servers/rollout_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks that good versions are completed and bad ones rolled back in time, whatever happens to
/// the holder of the duties and to the store.
class RolloutControllerTest : public RolloutFixture
{
    CPPUNIT_TEST_SUITE(RolloutControllerTest);
    CPPUNIT_TEST(goodTargetIsCompletedInTime);
    CPPUNIT_TEST(badTargetIsRolledBack);
    CPPUNIT_TEST(targetThatTurnsBadInTheTrialIsRolledBack);
    CPPUNIT_TEST(targetThatTurnsBadAfterTheShiftIsRolledBack);
    CPPUNIT_TEST(slowTargetIsRolledBack);
    CPPUNIT_TEST(targetThatNeverStartsIsRolledBack);
    CPPUNIT_TEST(targetThatDisappearsIsRolledBack);
    CPPUNIT_TEST(rarelyUsedTargetIsCompleted);
    CPPUNIT_TEST(holderDiesBetweenStateAndStatus);
    CPPUNIT_TEST(holderDiesInEachPhase);
    CPPUNIT_TEST(instanceThatIsCutOffDecidesNothing);
    CPPUNIT_TEST(eachInstanceStopsByItself);
    CPPUNIT_TEST(laterOrderReplacesTheEarlierOne);
    CPPUNIT_TEST(repeatedOrderIsTheSame);
    CPPUNIT_TEST(orderOfTheVersionInServiceIsCompleted);
    CPPUNIT_TEST_SUITE_END();

    /// Kills the holder when it has stored the state of this phase.
    void runToStoredPhase(RolloutPhase phase)
    {
        Instance &killed = holder();
        killed.store->nextFate = [](std::string_view topic) {
            return topic == OrderCodec::statusTopic ? StoreLink::Fate::Lost
                                                    : StoreLink::Fate::Answered;
        };
        const Instant end = m_now + seconds(20);
        while (storedPhase() != phase) {
            CPPUNIT_ASSERT(m_now < end);
            run(tickInterval);
        }
        killInstance(killed);
    }

public:
    // Guards against a roll-out that takes too long or tells the operator too late.
    void goodTargetIsCompletedInTime()
    {
        startSite();
        order("v2", seconds(12));
        run(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("running v2"), lastStatus());
        run(seconds(13));
        checkEnded("completed v2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_statuses.size());
        // Streams of the old version have ended before.
        CPPUNIT_ASSERT(m_statuses.back().at - m_lastOldRequestAt >= milliseconds(1500));
        CPPUNIT_ASSERT(m_store.appends < 40);
    }

    void badTargetIsRolledBack()
    {
        startSite();
        m_model.target = {.failures = 0.3};
        order("v2", seconds(12));
        run(seconds(13));
        checkEnded("rolled-back v2");
        checkExposure();
    }

    // Guards against a verdict that is not taken back.
    void targetThatTurnsBadInTheTrialIsRolledBack()
    {
        startSite();
        m_model.target = {.failures = 0.4, .turnsAt = seconds(6)};
        order("v2", seconds(12));
        run(seconds(13));
        checkEnded("rolled-back v2");
        checkExposure();
    }

    // Guards against a judgement that ends with the trial.
    void targetThatTurnsBadAfterTheShiftIsRolledBack()
    {
        startSite();
        m_model.target = {.failures = 0.5, .turnsAt = milliseconds(7800)};
        order("v2", seconds(12));
        run(milliseconds(7600));
        CPPUNIT_ASSERT(storedPhase() == RolloutPhase::Shifting);
        run(seconds(5));
        checkEnded("rolled-back v2");
        checkExposure();
        const auto &phases = m_metrics.rolloutPhases;
        CPPUNIT_ASSERT(std::ranges::find(phases, "completed") == phases.end());
    }

    void slowTargetIsRolledBack()
    {
        startSite();
        m_model.target = {.slowness = 4};
        order("v2", seconds(12));
        run(seconds(13));
        checkEnded("rolled-back v2");
        checkExposure();
    }

    void targetThatNeverStartsIsRolledBack()
    {
        startSite(false);
        order("v2", seconds(12));
        run(seconds(13));
        checkEnded("rolled-back v2");
        CPPUNIT_ASSERT_EQUAL(0U, m_model.targetRequests);
    }

    void targetThatDisappearsIsRolledBack()
    {
        startSite();
        order("v2", seconds(12));
        run(seconds(8));
        CPPUNIT_ASSERT(storedPhase() == RolloutPhase::Shifting);
        removeEndpoint("new");
        run(seconds(5));
        checkEnded("rolled-back v2");
    }

    // Guards against rolling back a version of a service with few requests, of which too few
    // answers are known for a verdict.
    void rarelyUsedTargetIsCompleted()
    {
        startSite();
        m_model.rates = {{1, 25}};
        order("v2", seconds(12));
        run(seconds(13));
        checkEnded("completed v2");
    }

    // Guards against a status that nobody writes.
    void holderDiesBetweenStateAndStatus()
    {
        for (const RolloutPhase phase :
             {RolloutPhase::Trial, RolloutPhase::Completed, RolloutPhase::RollingBack}) {
            restart();
            startSite();
            const bool isBad = phase == RolloutPhase::RollingBack;
            m_model.target.failures = isBad ? 0.5 : 0.005;
            order("v2", seconds(12));
            runToStoredPhase(phase);
            run(seconds(17));
            checkEnded(isBad ? "rolled-back v2" : "completed v2");
            if (isBad)
                checkExposure();
        }
    }

    // Guards against a roll-out that a successor starts anew, or leaves.
    void holderDiesInEachPhase()
    {
        for (int life = 0; life < 24; ++life) {
            for (const bool isBad : {false, true}) {
                restart();
                startSite();
                m_model.target = {.failures = isBad ? 0.3 : 0.005, .turnsAt = seconds(3)};
                order("v2", seconds(12));
                run(milliseconds(500) * life);
                killInstance(holder());
                run(seconds(20));
                checkEnded(isBad ? "rolled-back v2" : "completed v2");
                if (isBad)
                    checkExposure();
            }
        }
    }

    // Guards against a verdict by the evidence of a single instance.
    void instanceThatIsCutOffDecidesNothing()
    {
        startSite();
        order("v2", seconds(12));
        run(seconds(3));
        Instance &other = *m_instances.at(&holder() == m_instances.front().get() ? 1 : 0);
        m_isolated.insert(other.name);
        run(seconds(2));
        const std::uint64_t number = m_parts[other.name].decider->number(*other.mesh, 0, 0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, number);
        run(seconds(8));
        checkEnded("completed v2");
    }

    // Guards against instances that go on sending until the decision has reached them.
    void eachInstanceStopsByItself()
    {
        startSite();
        m_model.rates = {{1, 300}};
        m_model.target = {.failures = 1, .turnsAt = seconds(3)};
        order("v2", seconds(12));
        run(seconds(2));
        for (auto &[name, part] : m_parts)
            part.view->sendsDigests = false;
        run(seconds(11));
        checkEnded("rolled-back v2");
        checkExposure();
    }

    // Guards against two targets at once, and a first one that the operator hears nothing of.
    void laterOrderReplacesTheEarlierOne()
    {
        startSite();
        order("v2");
        run(seconds(4));
        listEndpoint("newer", "v3");
        order("v3");
        run(seconds(17));
        checkEnded("completed v3");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, statusCount("rolled-back v2"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, statusCount("completed v2"));
    }

    // Guards against a second trial, which would end after the first deadline.
    void repeatedOrderIsTheSame()
    {
        startSite();
        order("v2");
        run(seconds(5));
        order("v2");
        run(seconds(12));
        checkEnded("completed v2");
    }

    void orderOfTheVersionInServiceIsCompleted()
    {
        startSite(false);
        order("v1");
        run(seconds(1));
        checkEnded("completed v1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutControllerTest);
