#include "servers/rollout/rollout_traffic.h"

#include "core/random_source.h"
#include "tests/servers/rollout_instance.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Guards that a version on trial gets sampled requests only, that a bad one gets nothing, and that
/// no request is left without an endpoint for a roll-out's sake.
class RolloutTrafficTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTrafficTest);
    CPPUNIT_TEST(allInstancesSampleTheSameEndpoints);
    CPPUNIT_TEST(sampledRequestsFallBack);
    CPPUNIT_TEST(shiftingNeedsEnoughTargets);
    CPPUNIT_TEST(completedUsesTargetOnly);
    CPPUNIT_TEST(badTargetGetsNothing);
    CPPUNIT_TEST(streamsKeepTheirVersion);
    CPPUNIT_TEST(everyRequestHasAnEndpoint);
    CPPUNIT_TEST(versionsWithoutOrderAreOnTrialFirst);
    CPPUNIT_TEST(supersededTargetGetsNothing);
    CPPUNIT_TEST(olderStatesChangeNothing);
    CPPUNIT_TEST(statesOfPeersUseTheLocalClock);
    CPPUNIT_TEST(finalStatesStayInCompleteDigests);
    CPPUNIT_TEST(disabledHearsNothing);
    CPPUNIT_TEST_SUITE_END();

    const Instant m_now = instantFromMicroseconds(1'000'000'000);
    const ServiceId m_service{"flags"};

    static unsigned countOf(const std::vector<const Endpoint *> &endpoints,
                            const std::string &software)
    {
        return static_cast<unsigned>(std::ranges::count_if(endpoints, [&](const auto *endpoint) {
            return endpoint->listing.software == SoftwareVersion(software);
        }));
    }
    RolloutRun run(bool isSampled) const { return {.service = m_service, .isSampled = isSampled}; }

public:
    // Guards against a load per endpoint on trial that is far below the one after the roll-out.
    void allInstancesSampleTheSameEndpoints()
    {
        VersionedEndpoints endpoints;
        endpoints.add("v1", 90);
        endpoints.add("v2", 90);
        std::set<std::string> used;
        std::vector<std::unique_ptr<RolloutInstance>> fleet;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            fleet.push_back(std::make_unique<RolloutInstance>(seed));
            RolloutTraffic &traffic = fleet.back()->traffic;
            fleet.back()->observe({"v1"}, m_now);
            traffic.apply(rolloutState(RolloutPhase::Trial), m_now);
            for (const Endpoint *endpoint :
                 traffic.mayUse(run(true), endpoints.candidates(), m_now))
                used.insert(endpoint->id.value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, used.size()); // 90 x 0.1 x 0.8, rounded up
        CPPUNIT_ASSERT(std::ranges::all_of(
                used, [](const std::string &id) { return id.starts_with("v2"); }));
    }

    // Guards against refusals of sampled requests whose endpoints are busy, failing or missing, and
    // against a repeat on the version that has just failed the request.
    void sampledRequestsFallBack()
    {
        RolloutInstance instance(1);
        instance.observe({"v1"}, m_now);
        instance.traffic.apply(rolloutState(RolloutPhase::Trial), m_now);
        VersionedEndpoints endpoints;
        endpoints.add("v1", 5);
        endpoints.add("v2", 20);
        const auto free = endpoints.candidates();
        const auto sampled = instance.traffic.mayUse(run(true), free, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sampled.size());
        using Flag = bool RolloutCandidate::*;
        for (const Flag flag : {&RolloutCandidate::isSuspect, &RolloutCandidate::isTried}) {
            auto usable = free;
            for (const Endpoint *endpoint : sampled)
                (*std::ranges::find(usable, endpoint, &RolloutCandidate::endpoint)).*flag = true;
            const auto others = instance.traffic.mayUse(run(true), usable, m_now);
            CPPUNIT_ASSERT_EQUAL(5U, countOf(others, "v1"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, others.size());
        }
        VersionedEndpoints old;
        old.add("v1", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                             instance.traffic.mayUse(run(true), old.candidates(), m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), instance.log.lastTexts["rollout-target"]["target"]);
    }

    // Guards against a target that is overloaded since a few endpoints get all requests.
    void shiftingNeedsEnoughTargets()
    {
        RolloutInstance instance(1);
        instance.observe({"v1"}, m_now);
        instance.traffic.apply(rolloutState(RolloutPhase::Shifting), m_now);
        for (const unsigned targets : {4U, 5U}) {
            VersionedEndpoints endpoints;
            endpoints.add("v1", 10);
            endpoints.add("v2", targets);
            const auto used = instance.traffic.mayUse(run(false), endpoints.candidates(), m_now);
            CPPUNIT_ASSERT_EQUAL(targets, countOf(used, "v2"));
            CPPUNIT_ASSERT_EQUAL(targets < 5 ? 10U : 0U, countOf(used, "v1"));
        }
    }

    // Guards against requests at old endpoints, which the platform stops without draining.
    void completedUsesTargetOnly()
    {
        RolloutInstance instance(1);
        instance.observe({"v1"}, m_now);
        instance.traffic.apply(rolloutState(RolloutPhase::Completed), m_now);
        instance.traffic.suspend(m_service, "a late verdict");
        VersionedEndpoints endpoints;
        endpoints.add("v1", 10);
        endpoints.add("v2", 1);
        auto usable = endpoints.candidates();
        CPPUNIT_ASSERT_EQUAL(0U, countOf(instance.traffic.mayUse(run(false), usable, m_now), "v1"));
        usable.back().isFree = false;
        CPPUNIT_ASSERT(instance.traffic.mayUse(run(false), usable, m_now).empty());
        usable.pop_back();
        CPPUNIT_ASSERT_EQUAL(10U,
                             countOf(instance.traffic.mayUse(run(false), usable, m_now), "v1"));
    }

    // Guards against requests at a bad version, also while the old endpoints are busy.
    void badTargetGetsNothing()
    {
        VersionedEndpoints endpoints;
        endpoints.add("v1", 3);
        endpoints.add("v2", 3);
        for (const bool isSuspended : {false, true}) {
            RolloutInstance instance(1);
            instance.observe({"v1"}, m_now);
            instance.traffic.apply(
                    rolloutState(isSuspended ? RolloutPhase::Trial : RolloutPhase::RollingBack),
                    m_now);
            if (isSuspended)
                instance.traffic.suspend(m_service, "failures");
            CPPUNIT_ASSERT_EQUAL(isSuspended, instance.traffic.isSuspended(m_service));
            for (const bool isSampled : {false, true}) {
                auto usable = endpoints.candidates();
                const auto used = instance.traffic.mayUse(run(isSampled), usable, m_now);
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
                CPPUNIT_ASSERT_EQUAL(3U, countOf(used, "v1"));
                for (RolloutCandidate &candidate : usable) {
                    if (candidate.endpoint->listing.software == SoftwareVersion("v1"))
                        candidate.isFree = false;
                }
                CPPUNIT_ASSERT(instance.traffic.mayUse(run(isSampled), usable, m_now).empty());
                usable.erase(usable.begin(), usable.begin() + 3);
                CPPUNIT_ASSERT_EQUAL(
                        3U, countOf(instance.traffic.mayUse(run(isSampled), usable, m_now), "v2"));
            }
            instance.traffic.apply(rolloutState(RolloutPhase::Trial, 8), m_now);
            CPPUNIT_ASSERT_EQUAL(
                    1U,
                    countOf(instance.traffic.mayUse(run(true), endpoints.candidates(), m_now),
                            "v2"));
        }
    }

    // Guards against streams that are cut although their version still has endpoints, and against
    // streams that go on at a bad version.
    void streamsKeepTheirVersion()
    {
        RolloutInstance instance(1);
        instance.observe({"v1"}, m_now);
        VersionedEndpoints endpoints;
        endpoints.add("v1", 3);
        endpoints.add("v2", 3);
        auto usable = endpoints.candidates();
        for (RolloutCandidate &candidate : usable)
            candidate.isFree = candidate.endpoint->listing.software == SoftwareVersion("v2");
        const RolloutRun stream{
                .service = m_service, .software = SoftwareVersion("v2"), .isFirst = false};
        const auto used = [&](RolloutPhase phase, std::uint32_t change) {
            instance.traffic.apply(rolloutState(phase, 7, change), m_now);
            return countOf(instance.traffic.mayUse(stream, usable, m_now), "v2");
        };
        CPPUNIT_ASSERT_EQUAL(1U, used(RolloutPhase::Trial, 0));
        // Its engine is the sampled one, and has crashed.
        const Endpoint *crashed = instance.traffic.mayUse(stream, usable, m_now).front();
        for (RolloutCandidate &candidate : usable)
            candidate.isTried = candidate.endpoint == crashed;
        CPPUNIT_ASSERT_EQUAL(2U, used(RolloutPhase::Trial, 0));
        CPPUNIT_ASSERT_EQUAL(2U, used(RolloutPhase::Shifting, 1));
        CPPUNIT_ASSERT_EQUAL(0U, used(RolloutPhase::RollingBack, 2));
        CPPUNIT_ASSERT_EQUAL(0U, used(RolloutPhase::RolledBack, 3));
    }

    // Guards against requests without an endpoint in any phase, whatever part of the endpoints is
    // left, unless all endpoints of the versions that may be used are busy.
    void everyRequestHasAnEndpoint()
    {
        RandomSource random(4);
        VersionedEndpoints endpoints;
        endpoints.add("v1", 3);
        endpoints.add("v2", 3);
        for (unsigned round = 0; round < 2000; ++round) {
            RolloutInstance instance(round);
            instance.observe({"v1"}, m_now);
            if (random.integerBelow(6) > 0)
                instance.traffic.apply(
                        rolloutState(static_cast<RolloutPhase>(1 + random.integerBelow(5))), m_now);
            if (random.integerBelow(3) == 0)
                instance.traffic.suspend(m_service, "test");
            auto usable = endpoints.candidates();
            std::erase_if(usable, [&](const auto &) { return random.integerBelow(3) == 0; });
            const bool isSampled = random.integerBelow(2) == 0;
            const auto used = instance.traffic.mayUse(run(isSampled), usable, m_now);
            CPPUNIT_ASSERT_EQUAL(usable.empty(), used.empty());
        }
    }

    // Guards against a version that gets all requests before its order is heard, and against one
    // without an order that gets few for ever.
    void versionsWithoutOrderAreOnTrialFirst()
    {
        RolloutInstance instance(1);
        VersionedEndpoints endpoints;
        endpoints.add("v1", 3);
        endpoints.add("v2", 3);
        const auto used = [&](bool isSampled, Duration age) {
            return countOf(
                    instance.traffic.mayUse(run(isSampled), endpoints.candidates(), m_now + age),
                    "v2");
        };
        instance.observe({"v1"}, m_now);
        CPPUNIT_ASSERT_EQUAL(0U, used(false, milliseconds(50)));
        instance.observe({"v1", "v2"}, m_now + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(0U, used(false, milliseconds(2050)));
        CPPUNIT_ASSERT_EQUAL(1U, used(true, milliseconds(2050)));
        CPPUNIT_ASSERT_EQUAL(3U, used(false, milliseconds(2100)));
        RolloutInstance starting(1);
        starting.observe({"v1", "v2"}, m_now);
        CPPUNIT_ASSERT_EQUAL(
                3U,
                countOf(starting.traffic.mayUse(run(false), endpoints.candidates(), m_now), "v2"));
    }

    // Guards against requests at the target of an order that a later one has replaced.
    void supersededTargetGetsNothing()
    {
        VersionedEndpoints endpoints;
        endpoints.add("v1", 3);
        endpoints.add("v2", 3);
        endpoints.add("v3", 3);
        for (const RolloutPhase phase : {RolloutPhase::Trial, RolloutPhase::Completed}) {
            RolloutInstance instance(1);
            instance.observe({"v1", "v2", "v3"}, m_now);
            instance.traffic.apply(rolloutState(phase), m_now);
            RolloutState next = rolloutState(RolloutPhase::Trial, 8);
            next.target = SoftwareVersion("v3");
            instance.traffic.apply(next, m_now);
            const auto used = instance.traffic.mayUse(run(false), endpoints.candidates(), m_now);
            CPPUNIT_ASSERT_EQUAL(phase == RolloutPhase::Trial ? 0U : 3U, countOf(used, "v2"));
            CPPUNIT_ASSERT_EQUAL(3U, countOf(used, "v1"));
            CPPUNIT_ASSERT_EQUAL(0U, countOf(used, "v3"));
        }
    }

    // Guards against a bad version that gets requests again since an old digest arrives late, and
    // against instances that all send a digest for each one they receive.
    void olderStatesChangeNothing()
    {
        RolloutInstance instance(1);
        unsigned news = 0;
        instance.traffic.setNewsHandler([&news] { ++news; });
        instance.traffic.apply(rolloutState(RolloutPhase::RollingBack, 7, 1), m_now);
        instance.traffic.apply(rolloutState(RolloutPhase::RollingBack, 7, 1), m_now);
        const RolloutState older[] = {rolloutState(RolloutPhase::Trial, 7, 0),
                                      rolloutState(RolloutPhase::Shifting, 6, 9)};
        instance.traffic.applyPeerStates(older, {}, m_now);
        CPPUNIT_ASSERT(instance.traffic.states().at(0).phase == RolloutPhase::RollingBack);
        const RolloutState newer[] = {rolloutState(RolloutPhase::RolledBack, 7, 2)};
        instance.traffic.applyPeerStates(newer, {}, m_now);
        CPPUNIT_ASSERT(instance.traffic.states().at(0).phase == RolloutPhase::RolledBack);
        CPPUNIT_ASSERT_EQUAL(1U, news);
    }

    // Guards against deadlines that are off by the error of a peer's clock.
    void statesOfPeersUseTheLocalClock()
    {
        RolloutInstance instance(1);
        const RolloutState state[] = {rolloutState(RolloutPhase::Trial)};
        instance.traffic.applyPeerStates(state, milliseconds(300), m_now);
        const RolloutState known = instance.traffic.states().at(0);
        CPPUNIT_ASSERT(known.dueAt == state[0].dueAt - milliseconds(300));
        CPPUNIT_ASSERT(known.orderedAt == state[0].orderedAt - milliseconds(300));
    }

    // Guards against instances that start later and use a version that was rolled back, and against
    // digests that grow with each roll-out that ever was.
    void finalStatesStayInCompleteDigests()
    {
        RolloutInstance instance(1);
        instance.traffic.apply(rolloutState(RolloutPhase::RollingBack), m_now);
        const Instant later = m_now + milliseconds(20'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.traffic.digestStates(false, later).size());
        instance.traffic.apply(rolloutState(RolloutPhase::RolledBack, 7, 1), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.traffic.digestStates(false, m_now).size());
        CPPUNIT_ASSERT(instance.traffic.digestStates(false, later).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.traffic.digestStates(true, later).size());
    }

    // Guards against any effect on deployments without roll-outs.
    void disabledHearsNothing()
    {
        RolloutInstance instance(1);
        instance.traffic.setExposureShare(std::nullopt);
        const RolloutState state[] = {rolloutState(RolloutPhase::Trial)};
        instance.traffic.applyPeerStates(state, {}, m_now);
        CPPUNIT_ASSERT(instance.traffic.states().empty());
        for (unsigned count = 0; count < 100; ++count)
            CPPUNIT_ASSERT(!instance.traffic.sample(m_service));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTrafficTest);
