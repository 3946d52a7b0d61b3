#include "core/random_source.h"
#include "servers/rollout/rollout_traffic.h"
#include "tests/servers/rollout_instance.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Guards the share of all requests that a version on trial gets over a whole order, from many
/// instances that hear of it at different times.
class RolloutExposureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutExposureTest);
    CPPUNIT_TEST(shareIsBoundedOverAnOrder);
    CPPUNIT_TEST(shareIsReached);
    CPPUNIT_TEST_SUITE_END();

    const Instant m_now = instantFromMicroseconds(1'000'000'000);
    const ServiceId m_service{"flags"};

    /// What a version on trial got in a simulated order.
    struct Exposure
    {
        unsigned requests = 0;
        unsigned runs = 0;
        std::set<std::string> endpoints;
    };

    /// Sends random requests for the 12 s of an order whose target's endpoints are listed first and
    /// heard of later. Each request at the target fails there, so it is repeated.
    Exposure exposure(unsigned instances, double requestsPerSecond, unsigned targets,
                      std::uint64_t seed) const
    {
        RandomSource random(seed);
        VersionedEndpoints old;
        old.add("v1", 30);
        VersionedEndpoints both;
        both.add("v1", 30);
        both.add("v2", targets);
        std::vector<std::unique_ptr<RolloutInstance>> fleet;
        std::vector<Duration> heardAfter;
        for (unsigned number = 0; number < instances; ++number) {
            fleet.push_back(std::make_unique<RolloutInstance>(seed * 1000 + number));
            fleet.back()->observe({"v1"}, m_now);
            heardAfter.push_back(milliseconds(random.integerBelow(1500)));
        }
        Exposure result;
        const double requests = requestsPerSecond * 12;
        for (unsigned count = 0; count < requests; ++count) {
            const Duration age = fromSeconds(count / requestsPerSecond);
            const Instant now = m_now + age;
            const std::size_t number = random.integerBelow(instances);
            RolloutInstance &instance = *fleet[number];
            // The endpoints are listed 0.3 s after the order.
            const bool isListed = age > milliseconds(300);
            if (random.integerBelow(10) == 0)
                instance.observe(isListed ? std::vector<std::string>{"v1", "v2"}
                                          : std::vector<std::string>{"v1"},
                                 now);
            if (age >= heardAfter[number])
                instance.traffic.apply(rolloutState(RolloutPhase::Trial), now);
            ++result.requests;
            RolloutRun attempt = {.service = m_service,
                                  .isSampled = instance.traffic.sample(m_service)};
            std::vector<RolloutCandidate> usable = isListed ? both.candidates() : old.candidates();
            for (unsigned attempts = 0; attempts < 3; ++attempts) {
                const auto endpoints = instance.traffic.mayUse(attempt, usable, now);
                CPPUNIT_ASSERT(!endpoints.empty());
                const Endpoint *chosen = endpoints[random.integerBelow(endpoints.size())];
                instance.traffic.recordStart(attempt, chosen->listing.software, now);
                attempt.isFirst = false;
                if (chosen->listing.software != SoftwareVersion("v2"))
                    break;
                ++result.runs;
                result.endpoints.insert(chosen->id.value());
                // It runs on there, and a hedge or a repeat looks for another endpoint.
                std::ranges::find(usable, chosen, &RolloutCandidate::endpoint)->isFree = false;
            }
        }
        return result;
    }

public:
    // Guards against a share that grows with the number of instances, with repeats, or between the
    // listing of the target's endpoints and the arrival of the order.
    void shareIsBoundedOverAnOrder()
    {
        for (const unsigned instances : {5U, 28U, 118U}) {
            for (const double rate : {40.0, 300.0, 1000.0}) {
                for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                    const Exposure result = exposure(instances, rate, 30, seed);
                    CPPUNIT_ASSERT(result.runs <= result.requests * 0.1 + 50);
                    // Two sets of 30 x 0.1 x 0.8, rounded up: before and after the order is heard.
                    CPPUNIT_ASSERT(result.endpoints.size() <= 6);
                }
            }
        }
    }

    // Guards against so few requests at the target that nothing is learned about it.
    void shareIsReached()
    {
        for (const unsigned instances : {5U, 28U, 118U}) {
            const Exposure result = exposure(instances, 300, 30, 9);
            CPPUNIT_ASSERT(result.runs >= result.requests * 0.05);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutExposureTest);
