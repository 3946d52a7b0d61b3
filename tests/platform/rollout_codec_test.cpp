#include "platform/rollout_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <utility>

using namespace monsoonsail;
using namespace monsoonsail::platform;

/// Checks the records of roll-outs that operators write and read.
class RolloutCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutCodecTest);
    CPPUNIT_TEST(orderIsDecoded);
    CPPUNIT_TEST(invalidOrdersAreRejected);
    CPPUNIT_TEST(statusIsEncoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void orderIsDecoded()
    {
        std::string fault;
        const auto order = decodeRolloutOrder(
                "rollout/huvo11a", R"({"Service":"huvo11a","Target":"v2","DeadlineS":12.5})",
                fault);
        CPPUNIT_ASSERT(order);
        CPPUNIT_ASSERT(order->service == ServiceId("huvo11a"));
        CPPUNIT_ASSERT(order->target == SoftwareVersion("v2"));
        CPPUNIT_ASSERT(order->allowedTime == std::chrono::milliseconds(12'500));
    }

    // Guards against an order that names no version, or one service by its key and another by its
    // text, being carried out.
    void invalidOrdersAreRejected()
    {
        const std::pair<std::string, std::string> invalid[] = {
                {"rollout/a", ""},
                {"rollout/a", "[]"},
                {"rollout/a", R"({"Service":"a","Target":"v2"})"},
                {"rollout/a", R"({"Service":"a","DeadlineS":12})"},
                {"rollout/a", R"({"Service":"a","Target":"","DeadlineS":12})"},
                {"rollout/a", R"({"Service":"b","Target":"v2","DeadlineS":12})"},
                {"rollout/a", R"({"Service":"a","Target":"v2","DeadlineS":0})"},
                {"rollout/a", R"({"Service":"a","Target":"v2","DeadlineS":-1})"},
                {"rollout/a", R"({"Service":"a","Target":"v2","DeadlineS":1e300})"},
        };
        for (const auto &[key, text] : invalid) {
            std::string fault;
            CPPUNIT_ASSERT_MESSAGE(text, !decodeRolloutOrder(key, text, fault));
            CPPUNIT_ASSERT_MESSAGE(text, !fault.empty());
        }
    }

    void statusIsEncoded()
    {
        const std::pair<RolloutPhase, std::string> states[] = {
                {RolloutPhase::Trial, "running"},
                {RolloutPhase::Shifting, "running"},
                {RolloutPhase::Completed, "completed"},
                {RolloutPhase::RollingBack, "rolled_back"},
                {RolloutPhase::RolledBack, "rolled_back"},
        };
        for (const auto &[phase, state] : states) {
            const std::string expected = R"({"State":")" + state + R"(","Target":"v2"})";
            CPPUNIT_ASSERT_EQUAL(expected, encodeRolloutStatus(phase, SoftwareVersion("v2")));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutCodecTest);
