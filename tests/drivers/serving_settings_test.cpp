#include "drivers/settings/serving_settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace monsoonsail;

/// Checks the optional sections of the settings.
class ServingSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingSettingsTest);
    CPPUNIT_TEST(rollOutsAreOffWithoutTheirSection);
    CPPUNIT_TEST(rollOutLimitsAreRead);
    CPPUNIT_TEST(incompleteRollOutLimitsAreFaults);
    CPPUNIT_TEST(costsAreNotLearnedByDefault);
    CPPUNIT_TEST(learningOfCostsCanBeSwitchedOn);
    CPPUNIT_TEST(unknownPlacementKeyIsReported);
    CPPUNIT_TEST_SUITE_END();

    std::vector<ConfigurationFault> m_faults;

    ServingSettings read(const std::string &section)
    {
        m_faults.clear();
        const std::string required = "instance = 'a'\nzone = 'z'\ncaller_listen = '10.0.0.1:1'\n"
                                     "ready_listen = '10.0.0.1:2'\ncontrol_listen = '10.0.0.1:3'\n"
                                     "digest_listen = '10.0.0.1:4'\nstore = '10.0.0.2:1'\n"
                                     "duties = '10.0.0.2:2'\nstop_grace_s = 5\n";
        return readServingSettings(required + section, "file", m_faults);
    }

public:
    // Guards against roll-outs on sites that know nothing of them.
    void rollOutsAreOffWithoutTheirSection()
    {
        CPPUNIT_ASSERT(!read("").limits.rollout);
        CPPUNIT_ASSERT(m_faults.empty());
    }

    void rollOutLimitsAreRead()
    {
        const ServingSettings settings =
                read("[rollout]\nexposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\n");
        CPPUNIT_ASSERT(m_faults.empty());
        CPPUNIT_ASSERT(settings.limits.rollout);
        CPPUNIT_ASSERT_EQUAL(0.1, settings.limits.rollout->exposureShare);
        CPPUNIT_ASSERT_EQUAL(50.0, settings.limits.rollout->exposureSlack);
        CPPUNIT_ASSERT(settings.limits.rollout->rollbackTime == std::chrono::seconds(5));
    }

    // Guards against a limit that is silently replaced by a default.
    void incompleteRollOutLimitsAreFaults()
    {
        read("[rollout]\nexposure_share = 0.1\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_faults.size());
    }

    // Guards against deployments that change their behaviour with an update alone.
    void costsAreNotLearnedByDefault()
    {
        CPPUNIT_ASSERT(!read("").limits.learnsCosts);
        CPPUNIT_ASSERT(!read("[placement]\n").limits.learnsCosts);
        CPPUNIT_ASSERT(m_faults.empty());
    }

    // Guards against a switch without effect.
    void learningOfCostsCanBeSwitchedOn()
    {
        CPPUNIT_ASSERT(read("[placement]\nlearns_costs = true\n").limits.learnsCosts);
        CPPUNIT_ASSERT(m_faults.empty());
    }

    // Guards against a misspelt switch that is ignored without a word.
    void unknownPlacementKeyIsReported()
    {
        read("[placement]\nlearn_costs = true\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_faults.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingSettingsTest);
