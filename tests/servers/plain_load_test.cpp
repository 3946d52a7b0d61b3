#include "core/hash.h"
#include "core/random_source.h"
#include "servers/placement/service_placer.h"
#include "tests/servers/recording_metrics.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace monsoonsail;

namespace {

constexpr unsigned instanceCount = 71;
constexpr unsigned endpointCount = 4;
constexpr unsigned slots = 6;
constexpr double requestsPerSecond = 248;
constexpr double workMs = 30;
constexpr double goalMs = 150;

/// Plays the plain requests of customer B against modelled endpoints with some slots each. An
/// endpoint is slower by a factor during 15 % of its intervals of 600 ms.
class PlainLoadModel
{
public:
    PlainLoadModel(double slowFactor, bool learnsCosts, std::uint64_t seed)
        : m_slowFactor(slowFactor)
        , m_random(seed)
    {
        for (unsigned index = 0; index < endpointCount; ++index) {
            Endpoint &endpoint = m_endpoints[index];
            endpoint.id = EndpointId("s" + std::to_string(index));
            endpoint.listing = {.service = m_service.name, .zone = ZoneId("a"), .slots = slots};
            m_candidates.push_back(&endpoint);
        }
        for (unsigned index = 0; index < instanceCount; ++index) {
            m_health.push_back(std::make_unique<EndpointHealthTracker>());
            m_placers.push_back(std::make_unique<ServicePlacer>(
                    ZoneId("a"), *m_health.back(), seed * 1000 + index,
                    learnsCosts ? std::make_unique<AnswerSpeeds>(m_metrics) : nullptr));
        }
    }

    /// Returns the share of requests that are answered within the goal.
    double run(double seconds)
    {
        arrive();
        for (unsigned index = 0; index < instanceCount; ++index)
            schedule(450 * m_random.fraction(), [this, index] { sendDigest(index); });
        const Instant end = m_now + fromSeconds(seconds);
        while (m_actions.begin()->first < end) {
            const auto action = m_actions.extract(m_actions.begin());
            m_now = action.key();
            action.mapped()();
        }
        return static_cast<double>(m_inTime) / m_answers;
    }

    /// Returns a hash of the endpoints chosen, in order.
    std::uint64_t placements() const { return m_placements; }

private:
    struct Waiting
    {
        AttemptNumber attempt = 0;
        unsigned instance = 0;
        Instant since;
    };

    void schedule(double delayMs, std::function<void()> action)
    {
        m_actions.emplace(m_now + fromMs(delayMs), std::move(action));
    }

    void arrive()
    {
        const double delayMs = -std::log(1 - m_random.fraction()) * 1000 / requestsPerSecond;
        schedule(delayMs, [this] { arrive(); });
        const auto instance = static_cast<unsigned>(m_random.integerBelow(instanceCount));
        const PlacementRequest request{.service = &m_service, .route = "look"};
        ServicePlacer &placer = *m_placers[instance];
        const Placement placement = *placer.place(request, m_candidates, m_now);
        m_health[instance]->recordAttemptStart(++m_lastAttempt, placement.endpoint, false, m_now);
        placer.recordAttemptStart(m_lastAttempt, request, placement, m_now);
        m_placements = stableHash(placement.endpoint.view(), m_placements);
        const auto endpoint =
                static_cast<unsigned>(std::stoul(placement.endpoint.value().substr(1)));
        m_waiting[endpoint].push_back(
                {.attempt = m_lastAttempt, .instance = instance, .since = m_now});
        startWork(endpoint);
    }

    void startWork(unsigned endpoint)
    {
        while (m_busy[endpoint] < slots && !m_waiting[endpoint].empty()) {
            const Waiting next = m_waiting[endpoint].front();
            m_waiting[endpoint].pop_front();
            ++m_busy[endpoint];
            const std::uint64_t interval =
                    static_cast<std::uint64_t>(toMicroseconds(m_now)) / 600'000;
            const bool isSlow = stableHash(std::to_string(endpoint), interval) % 100 < 15;
            const double spread = 0.5 + m_random.fraction();
            schedule(1 + workMs * spread * (isSlow ? m_slowFactor : 1),
                     [this, endpoint, next] { finish(endpoint, next); });
        }
    }

    void finish(unsigned endpoint, const Waiting &run)
    {
        --m_busy[endpoint];
        startWork(endpoint);
        m_placers[run.instance]->recordAnswer(run.attempt, m_now);
        m_placers[run.instance]->recordAttemptEnd(run.attempt, m_now);
        m_health[run.instance]->recordAttemptEnd(run.attempt, EndpointVerdict::Succeeded, m_now);
        ++m_answers;
        m_inTime += toMs(m_now - run.since) <= goalMs ? 1 : 0;
    }

    void sendDigest(unsigned index)
    {
        const Duration interval = fromSeconds(instanceCount / 160.0);
        schedule(toMs(interval), [this, index] { sendDigest(index); });
        Peer peer;
        peer.digest.instance = std::to_string(index);
        peer.digest.interval = interval;
        peer.digest.endpointLoads = m_placers[index]->ownLoads(m_now);
        peer.digest.endpointSpeeds = m_placers[index]->takeUnsentSpeeds(1);
        schedule(1, [this, index, peer]() mutable {
            peer.receivedAt = m_now;
            for (unsigned other = 0; other < instanceCount; ++other) {
                if (other != index)
                    m_placers[other]->applyPeerDigest(peer, m_now);
            }
        });
    }

    const double m_slowFactor;
    RandomSource m_random;
    RecordingMetrics m_metrics;
    const Service m_service{.name = ServiceId("plain")};
    Instant m_now = instantFromMicroseconds(1'000'000'000);
    std::array<Endpoint, endpointCount> m_endpoints;
    std::array<unsigned, endpointCount> m_busy{};
    std::array<std::deque<Waiting>, endpointCount> m_waiting;
    std::vector<const Endpoint *> m_candidates;
    std::vector<std::unique_ptr<EndpointHealthTracker>> m_health;
    std::vector<std::unique_ptr<ServicePlacer>> m_placers;
    std::multimap<Instant, std::function<void()>> m_actions;
    AttemptNumber m_lastAttempt = 0;
    unsigned m_answers = 0;
    unsigned m_inTime = 0;
    std::uint64_t m_placements = 0;
};

} // namespace

/// Tests what callers get from modelled plain endpoints, without and with learned costs.
class PlainLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlainLoadTest);
    CPPUNIT_TEST(moreAnswersAreInTimeWithSlowMoments);
    CPPUNIT_TEST(equalEndpointsServeAsBefore);
    CPPUNIT_TEST(placementWithoutLearningIsUnchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against endpoints that get as many requests in a slow moment as before.
    void moreAnswersAreInTimeWithSlowMoments()
    {
        CPPUNIT_ASSERT(PlainLoadModel(2.5, true, 1).run(60)
                       > PlainLoadModel(2.5, false, 1).run(60));
    }

    /// Guards against learning that makes equal endpoints worse.
    void equalEndpointsServeAsBefore()
    {
        CPPUNIT_ASSERT(PlainLoadModel(1, true, 1).run(60) >= PlainLoadModel(1, false, 1).run(60));
    }

    /// Guards against deployments without the setting that are served otherwise than before: the
    /// hash of all placements is that of the code before learned costs.
    void placementWithoutLearningIsUnchanged()
    {
        PlainLoadModel model(2.5, false, 1);
        model.run(20);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{14142901063165381546U}, model.placements());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlainLoadTest);
