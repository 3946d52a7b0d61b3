#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Checks that real daemons carry an operator's order out and report on it in time.
class RolloutOrdersProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutOrdersProcessTest);
    CPPUNIT_TEST(targetThatNeverStartsIsRolledBack);
    CPPUNIT_TEST(rollOutGoesOnAfterTheDeathOfItsDecider);
    CPPUNIT_TEST(ordersAreIgnoredWithoutTheSetting);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *statusTopic = "keyed.status";

    TestSite m_site;

    void startUp(bool hasRollouts)
    {
        m_site.publish(1);
        for (unsigned index = 0; index < 2; ++index)
            m_site.addEndpoint("plain");
        for (const std::string name : {"a", "b", "c"}) {
            DaemonSettings settings;
            settings.hasRollouts = hasRollouts;
            m_site.addDaemon(name, settings);
        }
        const bool isReady = waitUntil(seconds(10), [this] {
            return std::ranges::all_of(m_site.daemons(),
                                       [](const auto &daemon) { return daemon->isReady(); })
                    && !m_site.platform().values("keyed.duties").empty();
        });
        CPPUNIT_ASSERT(isReady);
    }

    void order(const std::string &target, int deadlineS)
    {
        m_site.platform().put("keyed.op", "rollout/plain",
                              R"({"Service":"plain","Target":")" + target + R"(","DeadlineS":)"
                                      + std::to_string(deadlineS) + "}");
    }

    bool waitForStatus(const std::string &state, milliseconds timeout)
    {
        return waitUntil(timeout, [this, &state] {
            const auto values = m_site.platform().values(statusTopic);
            return !values.empty()
                    && values.back() == R"({"State":")" + state + R"(","Target":"v9"})";
        });
    }

    DaemonProcess &holder()
    {
        const std::string claim = m_site.platform().values("keyed.duties").back();
        return **std::ranges::find_if(m_site.daemons(), [&claim](const auto &daemon) {
            return claim.find("\"instance\":\"" + daemon->instance() + "\"") != std::string::npos;
        });
    }

public:
    // Guards against an order that nobody reads, and against a report that comes too late.
    void targetThatNeverStartsIsRolledBack()
    {
        startUp(true);
        order("v9", 6);
        const auto dueAt = steady_clock::now() + seconds(6);
        CPPUNIT_ASSERT(waitForStatus("running", seconds(3)));
        CPPUNIT_ASSERT(waitForStatus("rolled_back", seconds(6)));
        CPPUNIT_ASSERT(steady_clock::now() <= dueAt);
        std::this_thread::sleep_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_site.platform().values(statusTopic).size());
    }

    // Guards against a roll-out that waits for the election of another holder.
    void rollOutGoesOnAfterTheDeathOfItsDecider()
    {
        startUp(true);
        order("v9", 6);
        const auto dueAt = steady_clock::now() + seconds(6);
        CPPUNIT_ASSERT(waitForStatus("running", seconds(3)));
        std::this_thread::sleep_until(dueAt - milliseconds(2500));
        holder().signal(SIGKILL);
        CPPUNIT_ASSERT(waitForStatus("rolled_back", seconds(6)));
        CPPUNIT_ASSERT(steady_clock::now() <= dueAt);
    }

    void ordersAreIgnoredWithoutTheSetting()
    {
        startUp(false);
        order("v9", 3);
        std::this_thread::sleep_for(seconds(3));
        CPPUNIT_ASSERT(m_site.platform().values(statusTopic).empty());
        CPPUNIT_ASSERT(m_site.platform().values("keyed.rollouts").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutOrdersProcessTest);
