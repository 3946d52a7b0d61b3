#include "servers/placement/engine_placer.h"
#include "servers/placement/service_placer.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests where requests are placed: prompts with the same parts on the same engine unless they
/// would miss their goals, and few requests on endpoints that are full, failing or suspect.
class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(samePrefixIsPlacedOnTheSameEngine);
    CPPUNIT_TEST(allInstancesChooseTheSameEngine);
    CPPUNIT_TEST(frequentPrefixSpreadsOverEngines);
    CPPUNIT_TEST(missingPrefixIsCopied);
    CPPUNIT_TEST(loadOfPeersIsCounted);
    CPPUNIT_TEST(backlogThatWouldPauseStreamsIsAvoided);
    CPPUNIT_TEST(keptConnectionIsPreferred);
    CPPUNIT_TEST(suspectEngineIsTheLastChoice);
    CPPUNIT_TEST(failingEndpointGetsFewerRequests);
    CPPUNIT_TEST(fullEndpointGetsFewerRequests);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now = instantFromMicroseconds(1'000'000'000);
    EndpointHealthTracker m_endpointHealth;
    WorkMeter m_workMeter{FleetPolicy()};
    const Service m_service{.name = ServiceId("model"),
                            .engine = EngineFeatures{.batchSlots = 64, .canMoveRuns = true}};
    std::vector<Endpoint> m_endpoints;
    AttemptNumber m_lastAttempt = 0;

    std::vector<const Endpoint *> candidates() const
    {
        std::vector<const Endpoint *> candidates;
        for (const Endpoint &endpoint : m_endpoints)
            candidates.push_back(&endpoint);
        return candidates;
    }

    PlacementRequest request(std::span<const PromptPart> parts, std::uint32_t tokens) const
    {
        return {.service = &m_service,
                .promptTokens = tokens,
                .outputTokens = 300,
                .parts = parts,
                .firstByteGoalAt = m_now + seconds(1),
                .pauseGoal = milliseconds(600)};
    }

    static std::vector<PromptPart> prompt(std::uint64_t session, std::uint64_t requestId)
    {
        return {{.id = 1, .tokens = 512},
                {.id = session, .tokens = 4800},
                {.id = requestId, .tokens = 6000}};
    }

    Placement place(Placer &placer, const std::vector<PromptPart> &parts, std::uint32_t tokens)
    {
        const PlacementRequest placementRequest = request(parts, tokens);
        const Placement placement = *placer.place(placementRequest, candidates(), m_now);
        m_endpointHealth.recordAttemptStart(++m_lastAttempt, placement.endpoint, true, m_now);
        placer.recordAttemptStart(m_lastAttempt, placementRequest, placement, m_now);
        return placement;
    }

    void finish(Placer &placer, AttemptNumber attempt, EndpointVerdict verdict)
    {
        placer.recordAttemptEnd(attempt, m_now);
        m_endpointHealth.recordAttemptEnd(attempt, verdict, m_now);
    }

public:
    void setUp() override
    {
        for (int index = 0; index < 8; ++index) {
            Endpoint endpoint;
            endpoint.listing = {.instance = "e" + std::to_string(index),
                                .service = m_service.name,
                                .address = "10.0.0." + std::to_string(index) + ":80",
                                .zone = ZoneId("a"),
                                .slots = 6};
            endpoint.id = EndpointId(endpoint.listing.instance);
            m_endpoints.push_back(endpoint);
        }
    }

    void samePrefixIsPlacedOnTheSameEngine()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        std::set<EndpointId> used;
        for (std::uint64_t requestId = 100; requestId < 110; ++requestId) {
            used.insert(place(placer, prompt(7, requestId), 11'312).endpoint);
            finish(placer, m_lastAttempt, EndpointVerdict::Succeeded);
            m_now += seconds(1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
    }

    void allInstancesChooseTheSameEngine()
    {
        EnginePlacer first(m_endpointHealth, m_workMeter, 1);
        EnginePlacer second(m_endpointHealth, m_workMeter, 2);
        for (std::uint64_t session = 10; session < 30; ++session) {
            const EndpointId engine = place(first, prompt(session, 100), 11'312).endpoint;
            finish(first, m_lastAttempt, EndpointVerdict::Succeeded);
            CPPUNIT_ASSERT(place(second, prompt(session, 101), 11'312).endpoint == engine);
            finish(second, m_lastAttempt, EndpointVerdict::Succeeded);
        }
    }

    void frequentPrefixSpreadsOverEngines()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        std::map<EndpointId, int> used;
        for (std::uint64_t requestId = 100; requestId < 124; ++requestId)
            ++used[place(placer, prompt(7, requestId), 11'312).endpoint];
        for (const auto &[engine, count] : used)
            // Each prompt has 6,000 tokens of its own, read at 60 per ms; the goal is one second.
            CPPUNIT_ASSERT(count * 100 <= 1000);
    }

    void missingPrefixIsCopied()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        std::set<EndpointId> used;
        bool isCopied = false;
        for (std::uint64_t requestId = 100; requestId < 124; ++requestId) {
            const Placement placement = place(placer, prompt(7, requestId), 11'312);
            const bool isNew = used.insert(placement.endpoint).second;
            if (isNew && used.size() > 1)
                isCopied = placement.cache.kind == CacheSource::Kind::Copied;
        }
        CPPUNIT_ASSERT(isCopied);
    }

    void loadOfPeersIsCounted()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        Peer peer{.receivedAt = m_now};
        peer.digest.instance = "peer";
        for (int index = 0; index < 7; ++index) {
            peer.digest.endpointLoads.push_back(
                    {.endpoint = m_endpoints.at(index).id, .running = 10, .promptTokens = 20'000});
        }
        placer.applyPeerDigest(peer, m_now);
        CPPUNIT_ASSERT(place(placer, {}, 1000).endpoint == m_endpoints.at(7).id);
    }

    // The streams of an engine that reads prompts continuously pause for too long.
    void backlogThatWouldPauseStreamsIsAvoided()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        Peer peer{.receivedAt = m_now};
        peer.digest.instance = "peer";
        for (int index = 0; index < 8; ++index) {
            const bool isStreaming = index < 7;
            peer.digest.endpointLoads.push_back({.endpoint = m_endpoints.at(index).id,
                                                 .running = isStreaming ? 12U : 1U,
                                                 .promptTokens = isStreaming ? 22'000U : 28'000U});
        }
        placer.applyPeerDigest(peer, m_now);
        CPPUNIT_ASSERT(place(placer, {}, 6000).endpoint == m_endpoints.at(7).id);
    }

    void keptConnectionIsPreferred()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        const EndpointId first = place(placer, {}, 100).endpoint;
        finish(placer, m_lastAttempt, EndpointVerdict::Succeeded);
        for (int count = 0; count < 10; ++count) {
            CPPUNIT_ASSERT(place(placer, {}, 100).endpoint == first);
            finish(placer, m_lastAttempt, EndpointVerdict::Succeeded);
        }
    }

    void suspectEngineIsTheLastChoice()
    {
        EnginePlacer placer(m_endpointHealth, m_workMeter, 1);
        for (int index = 0; index < 7; ++index)
            m_endpointHealth.recordPeerSuspicion(m_endpoints.at(index).id,
                                                 m_now + milliseconds(700));
        for (int count = 0; count < 10; ++count)
            CPPUNIT_ASSERT(place(placer, {}, 100).endpoint == m_endpoints.at(7).id);
    }

    void failingEndpointGetsFewerRequests()
    {
        ServicePlacer placer(ZoneId("a"), m_endpointHealth, 1);
        std::map<EndpointId, int> used;
        for (int count = 0; count < 200; ++count) {
            const EndpointId endpoint = place(placer, {}, 0).endpoint;
            ++used[endpoint];
            const bool isFailing = endpoint == m_endpoints.front().id;
            finish(placer, m_lastAttempt,
                   isFailing && count % 2 == 0 ? EndpointVerdict::Failed
                                               : EndpointVerdict::Succeeded);
            m_now += milliseconds(10);
        }
        CPPUNIT_ASSERT(used[m_endpoints.front().id] < 10);
    }

    void fullEndpointGetsFewerRequests()
    {
        ServicePlacer placer(ZoneId("a"), m_endpointHealth, 1);
        std::map<EndpointId, int> used;
        for (int count = 0; count < 48; ++count)
            ++used[place(placer, {}, 0).endpoint];
        for (const Endpoint &endpoint : m_endpoints)
            CPPUNIT_ASSERT(used[endpoint.id] >= 4 && used[endpoint.id] <= 8);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
