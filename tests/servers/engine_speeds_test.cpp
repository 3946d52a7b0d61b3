#include "servers/costs/engine_speeds.h"

#include "core/random_source.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <numbers>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests what is learned about the speeds of engines from measured times.
class EngineSpeedsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineSpeedsTest);
    CPPUNIT_TEST(equalEnginesHaveEqualSpeeds);
    CPPUNIT_TEST(slowEnginesAreLearned);
    CPPUNIT_TEST(fewObservationsChangeNothing);
    CPPUNIT_TEST(slowMomentPasses);
    CPPUNIT_TEST(overdueRunCountsAtOnce);
    CPPUNIT_TEST(lastingChangeIsFollowed);
    CPPUNIT_TEST(oldObservationsAreForgotten);
    CPPUNIT_TEST(newInstanceLearnsFromDigests);
    CPPUNIT_TEST(evidenceIsSentOnceInTurn);
    CPPUNIT_TEST(absurdReportIsBounded);
    CPPUNIT_TEST(changeIsReportedOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned engineCount = 12;
    const ServiceHash m_service{ServiceId("model")};
    Instant m_now = instantFromMicroseconds(1'000'000'000);
    RandomSource m_random{7};
    EngineSpeeds m_speeds;

    static EndpointHash engine(unsigned index)
    {
        return EndpointHash(EndpointId("e" + std::to_string(index)));
    }

    EngineSpeeds::Speed speed(EngineSpeeds &speeds, unsigned index)
    {
        return speeds.speed(engine(index), "e" + std::to_string(index), m_service, m_now);
    }

    /// Returns the relative time of an engine's reading without its short-term slowness.
    double factor(EngineSpeeds &speeds, unsigned index)
    {
        const EngineSpeeds::Speed known = speed(speeds, index);
        return known.msPerPromptToken / known.shortTermFactor;
    }

    /// Returns a factor whose logarithm has this standard deviation.
    double noise(double deviation)
    {
        const double normal = std::sqrt(-2 * std::log(1 - m_random.fraction()))
                * std::cos(2 * std::numbers::pi * m_random.fraction());
        return std::exp(deviation * normal);
    }

    void know(EngineSpeeds &speeds)
    {
        for (unsigned index = 0; index < engineCount; ++index)
            speed(speeds, index);
    }

    /// Lets each engine read `count` prompts, one in 100 ms. `times` are their relative times, of
    /// which those of the engines repeat.
    void observe(EngineSpeeds &speeds, const std::vector<double> &times, unsigned count,
                 double deviation)
    {
        for (unsigned round = 0; round < count; ++round) {
            m_now += milliseconds(100);
            for (unsigned index = 0; index < engineCount; ++index) {
                const double time = times[index % times.size()] * noise(deviation);
                speeds.recordReading(engine(index), 6000, 100 * time, 0.8, m_now);
                speeds.recordDecoding(engine(index), 100, 300 * time, 0.5, m_now);
            }
            speeds.update(m_now);
        }
    }

    Peer digestOf(EngineSpeeds &sender, std::size_t maxCount) const
    {
        Peer peer;
        peer.digest.instance = "other";
        peer.digest.endpointSpeeds = sender.takeUnsent(maxCount);
        return peer;
    }

public:
    void setUp() override { know(m_speeds); }

    /// Guards against noise that makes equal engines look different, which would change how
    /// homogeneous services are served.
    void equalEnginesHaveEqualSpeeds()
    {
        observe(m_speeds, {1}, 100, 0.25);
        for (unsigned index = 0; index < engineCount; ++index) {
            CPPUNIT_ASSERT_EQUAL(factor(m_speeds, 0), factor(m_speeds, index));
            CPPUNIT_ASSERT_EQUAL(speed(m_speeds, index).shortTermFactor,
                                 speed(m_speeds, index).decodeFactor);
        }
    }

    /// Guards against slow engines that look like fast ones until their queue shows.
    void slowEnginesAreLearned()
    {
        observe(m_speeds, {0.7, 0.7, 1.7}, 250, 0.4);
        // Placement uses the root of the factor.
        const double ratio = factor(m_speeds, 2) / factor(m_speeds, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7 / 0.7, ratio * ratio, 0.5);
        CPPUNIT_ASSERT(speed(m_speeds, 2).decodeFactor > 1.3);
        CPPUNIT_ASSERT(speed(m_speeds, 0).decodeFactor < 0.9);
    }

    /// Guards against conclusions from single slow runs.
    void fewObservationsChangeNothing()
    {
        m_speeds.recordReading(engine(3), 6000, 300, 0.8, m_now);
        m_speeds.update(m_now);
        CPPUNIT_ASSERT_EQUAL(factor(m_speeds, 0), factor(m_speeds, 3));
    }

    /// Guards against a slowdown of 600 ms that is not noticed, or that is remembered for seconds.
    void slowMomentPasses()
    {
        observe(m_speeds, {1}, 50, 0.05);
        m_speeds.recordReading(engine(1), 6000, 250, 0.8, m_now);
        m_speeds.recordReading(engine(1), 6000, 250, 0.8, m_now);
        m_speeds.update(m_now);
        CPPUNIT_ASSERT(speed(m_speeds, 1).shortTermFactor > 1.5);
        CPPUNIT_ASSERT_EQUAL(1.0, speed(m_speeds, 0).shortTermFactor);
        m_now += milliseconds(800);
        m_speeds.update(m_now);
        CPPUNIT_ASSERT_EQUAL(1.0, speed(m_speeds, 1).shortTermFactor);
        CPPUNIT_ASSERT_EQUAL(factor(m_speeds, 0), factor(m_speeds, 1));
    }

    /// Guards against a stuck engine that gets requests until its first event arrives late.
    void overdueRunCountsAtOnce()
    {
        m_speeds.recordOverdue(engine(1), 2.5, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, speed(m_speeds, 1).shortTermFactor, 0.01);
        CPPUNIT_ASSERT_EQUAL(1.0, speed(m_speeds, 2).shortTermFactor);
    }

    /// Guards against an engine that becomes slow for good and keeps its old speed for minutes.
    void lastingChangeIsFollowed()
    {
        std::vector<double> times(engineCount, 1);
        observe(m_speeds, times, 100, 0.2);
        times[4] = 2.5;
        observe(m_speeds, times, 250, 0.2);
        CPPUNIT_ASSERT(factor(m_speeds, 4) > 1.25 * factor(m_speeds, 5));
        times[4] = 1;
        observe(m_speeds, times, 300, 0.2);
        CPPUNIT_ASSERT_EQUAL(factor(m_speeds, 5), factor(m_speeds, 4));
    }

    /// Guards against an engine that is avoided for ever since nothing shows that it has recovered.
    void oldObservationsAreForgotten()
    {
        observe(m_speeds, {0.7, 0.7, 1.7}, 60, 0.2);
        m_now += milliseconds(10'001);
        m_speeds.update(m_now);
        CPPUNIT_ASSERT_EQUAL(factor(m_speeds, 0), factor(m_speeds, 2));
    }

    /// Guards against instances that see each engine too rarely to learn by themselves.
    void newInstanceLearnsFromDigests()
    {
        EngineSpeeds fresh;
        know(fresh);
        for (unsigned round = 0; round < 250; ++round) {
            observe(m_speeds, {0.7, 0.7, 1.7}, 1, 0.2);
            fresh.applyPeerDigest(digestOf(m_speeds, engineCount), m_now);
        }
        m_now += seconds(1);
        fresh.update(m_now);
        m_speeds.update(m_now);
        for (unsigned index = 0; index < engineCount; ++index)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(factor(m_speeds, index) / factor(m_speeds, 0),
                                         factor(fresh, index) / factor(fresh, 0), 0.05);
        CPPUNIT_ASSERT(factor(fresh, 2) > 1.3 * factor(fresh, 0));
    }

    /// Guards against evidence that is counted twice, and against engines that get no turn.
    void evidenceIsSentOnceInTurn()
    {
        observe(m_speeds, {1}, 3, 0);
        EngineSpeeds other;
        know(other);
        unsigned sent = 0;
        for (unsigned digest = 0; digest < engineCount / 4; ++digest) {
            const Peer peer = digestOf(m_speeds, 4);
            for (const Digest::EndpointSpeed &report : peer.digest.endpointSpeeds)
                CPPUNIT_ASSERT_DOUBLES_EQUAL(3 * 0.8, report.readingWeight, 1e-9);
            sent += static_cast<unsigned>(peer.digest.endpointSpeeds.size());
            other.applyPeerDigest(peer, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(engineCount, sent);
        CPPUNIT_ASSERT(m_speeds.takeUnsent(engineCount).empty());
        // What was received is not passed on.
        CPPUNIT_ASSERT(other.takeUnsent(engineCount).empty());
    }

    /// Guards against one corrupt or false report that makes an engine unusable.
    void absurdReportIsBounded()
    {
        observe(m_speeds, {1}, 60, 0.1);
        Peer peer;
        peer.digest.endpointSpeeds = {
                {.endpoint = engine(0), .readingLogRatio = 20, .readingWeight = 1000},
                {.endpoint = EndpointHash(EndpointId("unknown")), .readingWeight = 1}};
        m_speeds.applyPeerDigest(peer, m_now);
        m_speeds.update(m_now);
        CPPUNIT_ASSERT(factor(m_speeds, 0) < 2.5 * factor(m_speeds, 1));
        observe(m_speeds, {1}, 150, 0.1);
        CPPUNIT_ASSERT_EQUAL(factor(m_speeds, 1), factor(m_speeds, 0));
    }

    /// Guards against a log that is flooded by engines at the edge of being noticed.
    void changeIsReportedOnce()
    {
        std::vector<double> times(engineCount, 1);
        times[4] = 3;
        unsigned changes = 0;
        for (unsigned round = 0; round < 100; ++round) {
            m_now += milliseconds(250);
            for (unsigned index = 0; index < engineCount; ++index)
                m_speeds.recordReading(engine(index), 6000, 100 * times[index], 0.8, m_now);
            for (const EngineSpeeds::Change &change : m_speeds.update(m_now)) {
                CPPUNIT_ASSERT_EQUAL(std::string("e4"), change.engine);
                ++changes;
            }
        }
        CPPUNIT_ASSERT_EQUAL(1U, changes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSpeedsTest);
