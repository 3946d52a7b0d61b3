#include "tests/servers/engine_load_model.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>

using namespace monsoonsail;

/// Tests what callers get from modelled engines under the load of customer B, without and with
/// learned costs.
class EngineLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineLoadTest);
    CPPUNIT_TEST(moreStreamsBeginInTimeOnUnequalEngines);
    CPPUNIT_TEST(equalEnginesServeAsBefore);
    CPPUNIT_TEST(enginesThatBecomeSlowAreRelieved);
    CPPUNIT_TEST(falseLoadDoesNotChangeSpeeds);
    CPPUNIT_TEST(placementWithoutLearningIsUnchanged);
    CPPUNIT_TEST_SUITE_END();

    static EngineLoadResult play(EngineLoadSettings settings, bool learnsCosts)
    {
        settings.learnsCosts = learnsCosts;
        return EngineLoadModel(settings).run();
    }

public:
    /// Guards against slow engines that get as much as fast ones until their queue shows.
    void moreStreamsBeginInTimeOnUnequalEngines()
    {
        const EngineLoadSettings settings{.loadFactor = 1.8};
        const EngineLoadResult before = play(settings, false);
        const EngineLoadResult after = play(settings, true);
        CPPUNIT_ASSERT(after.firstShare() > before.firstShare());
        CPPUNIT_ASSERT(after.share() > before.share());
        CPPUNIT_ASSERT(EngineLoadResult::quantile(after.firstMs, 0.9)
                       < EngineLoadResult::quantile(before.firstMs, 0.9));
        CPPUNIT_ASSERT(EngineLoadResult::quantile(after.errorRatios, 0.5)
                       < EngineLoadResult::quantile(before.errorRatios, 0.5));
    }

    /// Guards against learning that makes a homogeneous service worse.
    void equalEnginesServeAsBefore()
    {
        const EngineLoadSettings settings{.loadFactor = 1.8, .times = {1}, .hasSlowMoments = false};
        const EngineLoadResult before = play(settings, false);
        const EngineLoadResult after = play(settings, true);
        CPPUNIT_ASSERT(after.share() >= before.share());
        CPPUNIT_ASSERT(EngineLoadResult::quantile(after.firstMs, 0.5)
                       <= EngineLoadResult::quantile(before.firstMs, 0.5));
    }

    /// Guards against engines that become slow for good under load and are not relieved.
    void enginesThatBecomeSlowAreRelieved()
    {
        const auto shareWithSlowEngines = [](bool learnsCosts) {
            EngineLoadModel *current = nullptr;
            EngineLoadSettings settings{.loadFactor = 1.8,
                                        .times = {1},
                                        .hasSlowMoments = false,
                                        .learnsCosts = learnsCosts};
            settings.atSecond = [&current](unsigned second) {
                for (std::size_t engine = 0; second == 5 && engine < 6; ++engine)
                    current->setTime(engine, 4);
            };
            EngineLoadModel model(settings);
            current = &model;
            return model.run().share();
        };
        CPPUNIT_ASSERT(shareWithSlowEngines(true) > shareWithSlowEngines(false));
    }

    /// Guards against an instance that reports load which does not exist: it may keep requests away
    /// from an engine as before, but not make other engines late.
    void falseLoadDoesNotChangeSpeeds()
    {
        const auto shareWithLies = [](bool learnsCosts) {
            EngineLoadModel model({.learnsCosts = learnsCosts});
            std::vector<Digest::EndpointLoad> loads;
            for (unsigned index = 0; index < 5; ++index)
                loads.push_back({.endpoint = EndpointId("e" + std::to_string(index)),
                                 .running = 500,
                                 .promptTokens = 4'000'000'000,
                                 .remainingMs = 4'000'000'000});
            model.setFalseLoad(0, loads);
            return model.run().share();
        };
        CPPUNIT_ASSERT(shareWithLies(true) > shareWithLies(false));
    }

    /// Guards against deployments without the setting that are served otherwise than before: the
    /// hash of all placements is that of the code before learned costs.
    void placementWithoutLearningIsUnchanged()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{823085176719439822}, play({}, false).placements);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineLoadTest);
