#include "drivers/settings/serving_settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace monsoonsail;

/// Checks settings that switch behaviour on.
class ServingSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingSettingsTest);
    CPPUNIT_TEST(costsAreNotLearnedByDefault);
    CPPUNIT_TEST(learningOfCostsCanBeSwitchedOn);
    CPPUNIT_TEST(unknownPlacementKeyIsReported);
    CPPUNIT_TEST_SUITE_END();

    std::vector<ConfigurationFault> m_faults;

    ServingSettings read(const std::string &added)
    {
        return readServingSettings("instance = \"entry-1\"\nzone = \"a\"\n"
                                   "caller_listen = \"10.0.0.1:80\"\n"
                                   "ready_listen = \"10.0.0.1:81\"\n"
                                   "control_listen = \"10.0.0.1:82\"\n"
                                   "digest_listen = \"10.0.0.1:83\"\n"
                                   "store = \"10.0.0.2:80\"\nduties = \"10.0.0.2:80\"\n"
                                   "stop_grace_s = 2\n"
                                           + added,
                                   "settings.toml", m_faults);
    }

public:
    /// Guards against deployments that change their behaviour with an update alone.
    void costsAreNotLearnedByDefault()
    {
        CPPUNIT_ASSERT(!read("").limits.learnsCosts);
        CPPUNIT_ASSERT(!read("[placement]\n").limits.learnsCosts);
        CPPUNIT_ASSERT(m_faults.empty());
    }

    /// Guards against a switch without effect.
    void learningOfCostsCanBeSwitchedOn()
    {
        CPPUNIT_ASSERT(read("[placement]\nlearns_costs = true\n").limits.learnsCosts);
        CPPUNIT_ASSERT(m_faults.empty());
    }

    /// Guards against a misspelt switch that is ignored without a word.
    void unknownPlacementKeyIsReported()
    {
        read("[placement]\nlearn_costs = true\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_faults.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingSettingsTest);
