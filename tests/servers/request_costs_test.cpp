#include "servers/costs/answer_speeds.h"
#include "servers/costs/engine_costs.h"
#include "tests/servers/recording_metrics.h"
#include "tests/servers/silent_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests the predictions of output, of remaining work and of answer times.
class RequestCostsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestCostsTest);
    CPPUNIT_TEST(hintsAreCorrectedByHistory);
    CPPUNIT_TEST(maximumLimitsThePrediction);
    CPPUNIT_TEST(unreadTokensAreReadInTime);
    CPPUNIT_TEST(unreadTokensOfPeersCancelOut);
    CPPUNIT_TEST(slotWaitFollowsRemainingWork);
    CPPUNIT_TEST(backlogEndsWithItsRuns);
    CPPUNIT_TEST(errorsArePassedToTheMetrics);
    CPPUNIT_TEST(overdueAnswerCountsAtOnce);
    CPPUNIT_TEST(slowEndpointIsLearnedForAllRoutes);
    CPPUNIT_TEST(speedsOfEndpointsAreShared);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now = instantFromMicroseconds(1'000'000'000);
    RecordingMetrics m_metrics;
    SilentLog m_log;
    EngineCosts m_costs{m_metrics, m_log};
    AnswerSpeeds m_answers{m_metrics};
    const ReportedWork m_noWork{};
    const EndpointHash m_engine{EndpointId("e0")};
    const ServiceId m_plain{"plain"};
    AttemptNumber m_lastAttempt = 0;

    EngineCosts::Query query(double newTokens, double running) const
    {
        return {.engine = m_engine,
                .engineName = "e0",
                .service = ServiceId("model"),
                .newTokens = newTokens,
                .running = running,
                .batchSlots = 4,
                .reported = m_noWork};
    }

    AttemptNumber beginRun(std::uint32_t tokens, double running)
    {
        m_costs.beginRun(++m_lastAttempt, query(tokens, running),
                         {.service = "model",
                          .route = "review",
                          .hintedTokens = 200,
                          .tokensPerEvent = 10,
                          .uncachedTokens = tokens,
                          .batchSlots = 4},
                         m_now);
        return m_lastAttempt;
    }

    void answer(const std::string &endpoint, std::string_view route, Duration took)
    {
        m_answers.beginRun(++m_lastAttempt, EndpointId(endpoint), m_plain, route, m_now);
        m_answers.endRun(m_lastAttempt, true, m_now + took);
    }

    double answerMs(const std::string &endpoint, std::string_view route)
    {
        m_answers.update(m_now);
        return m_answers.answerMs(EndpointId(endpoint), m_plain, route, m_now);
    }

public:
    /// Guards against hints of callers that are wrong by the same factor each time.
    void hintsAreCorrectedByHistory()
    {
        OutputPredictor predictor;
        const auto tags = OutputPredictor::classOf("tags", "club");
        const auto letters = OutputPredictor::classOf("letters", "club");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300, predictor.predict(letters, 300, 0).tokens, 1);
        const double initialDeviation = predictor.predict(letters, 300, 0).logDeviation;
        for (std::uint32_t hint = 100; hint < 1000; hint += 50) {
            predictor.record(tags, 0, 20);
            predictor.record(letters, hint, hint * 3);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, predictor.predict(tags, 0, 0).tokens, 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(900, predictor.predict(letters, 300, 0).tokens, 150);
        CPPUNIT_ASSERT(predictor.predict(letters, 300, 0).logDeviation < initialDeviation);
    }

    /// Guards against predictions that the caller's maximum rules out.
    void maximumLimitsThePrediction()
    {
        const OutputPredictor predictor;
        CPPUNIT_ASSERT_EQUAL(50.0, predictor.predict(1, 300, 50).tokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(128, predictor.predict(1, 0, 0).tokens, 0.1);
    }

    /// Guards against prompts that count as unread until the next digest arrives.
    void unreadTokensAreReadInTime()
    {
        UnreadTokens unread;
        unread.add(6000, m_now);
        unread.add(6000, m_now + milliseconds(20));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12'000, unread.remaining(1 / 60.0, m_now), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6600, unread.remaining(1 / 60.0, m_now + milliseconds(100)),
                                     1);
        CPPUNIT_ASSERT_EQUAL(0.0, unread.remaining(1 / 60.0, m_now + seconds(1)));
    }

    /// Guards against loads of peers that stay behind after their digests have been replaced, also
    /// of one that reports an absurd amount.
    void unreadTokensOfPeersCancelOut()
    {
        UnreadTokens unread;
        unread.add(5000, m_now);
        unread.add(4'000'000'000, m_now + milliseconds(300));
        unread.remove(4'000'000'000, m_now + milliseconds(300));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, unread.remaining(1, m_now), 1e-6);
        unread.remove(5000, m_now);
        CPPUNIT_ASSERT(unread == UnreadTokens());
    }

    /// Guards against full engines with nearly finished runs that look like those with new ones.
    void slotWaitFollowsRemainingWork()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, slotWaitMs(0, 12, 12, 6000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0 / 13, slotWaitMs(1, 12, 12, 6000), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0 / 13, slotWaitMs(1, 12, 12, 600), 0.01);
    }

    /// Guards against work that stays on the books of an engine after its runs have ended.
    void backlogEndsWithItsRuns()
    {
        const double idleMs = m_costs.predict(query(600, 0), m_now).firstTokenMs;
        const AttemptNumber first = beginRun(6000, 0);
        const AttemptNumber second = beginRun(6000, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(idleMs + 200,
                                     m_costs.predict(query(600, 0), m_now).firstTokenMs, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * 200 * 3, m_costs.ownRemainingMs(m_engine), 1);
        m_now += milliseconds(112);
        m_costs.recordEvents(first, 1, m_now);
        m_costs.recordEvents(first, 9, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300 * 3, m_costs.ownRemainingMs(m_engine), 1);
        m_costs.endRun(first, true, m_now);
        m_costs.endRun(first, false, m_now);
        m_costs.endRun(second, false, m_now);
        CPPUNIT_ASSERT_EQUAL(0.0, m_costs.ownRemainingMs(m_engine));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(idleMs, m_costs.predict(query(600, 0), m_now).firstTokenMs, 1);
    }

    /// Guards against operators that cannot see how good the predictions are.
    void errorsArePassedToTheMetrics()
    {
        const AttemptNumber attempt = beginRun(6000, 0);
        m_costs.recordEvents(attempt, 1, m_now + milliseconds(224));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, m_metrics.firstEventRatios.at(0), 0.01);
        m_costs.endRun(attempt, true, m_now + milliseconds(712));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, m_metrics.endRatios.at(0), 0.01);
    }

    /// Guards against an endpoint in a slow moment that gets requests until its answers arrive.
    void overdueAnswerCountsAtOnce()
    {
        for (int count = 0; count < 40; ++count)
            answer(count % 2 == 0 ? "s0" : "s1", "look", milliseconds(30));
        m_answers.beginRun(++m_lastAttempt, EndpointId("s0"), m_plain, "look", m_now);
        m_now += milliseconds(75);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(75, answerMs("s0", "look"), 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, answerMs("s1", "look"), 1);
        m_answers.endRun(m_lastAttempt, false, m_now);
        m_now += seconds(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, answerMs("s0", "look"), 1);
    }

    /// Guards against a slow endpoint that must be learned anew for each route.
    void slowEndpointIsLearnedForAllRoutes()
    {
        for (int count = 0; count < 60; ++count) {
            m_now += milliseconds(50);
            const bool isSlow = count % 4 == 0;
            answer("s" + std::to_string(count % 4), "look", milliseconds(isSlow ? 90 : 30));
            answer("s1", "book", milliseconds(60));
        }
        m_now += seconds(1);
        CPPUNIT_ASSERT(answerMs("s0", "look") > 1.8 * answerMs("s1", "look"));
        CPPUNIT_ASSERT(answerMs("s0", "book") > 1.8 * answerMs("s1", "book"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(answerMs("s2", "look"), answerMs("s3", "look"), 2);
    }

    /// Guards against instances with little traffic that notice slow moments too late.
    void speedsOfEndpointsAreShared()
    {
        for (int count = 0; count < 20; ++count)
            answer("s" + std::to_string(count % 2), "look", milliseconds(30));
        m_answers.takeUnsent(10);
        answer("s1", "look", milliseconds(75));
        AnswerSpeeds other(m_metrics);
        other.answerMs(EndpointId("s1"), m_plain, "look", m_now);
        Peer peer;
        peer.digest.endpointSpeeds = m_answers.takeUnsent(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer.digest.endpointSpeeds.size());
        other.applyPeerDigest(peer, m_now);
        CPPUNIT_ASSERT(other.answerMs(EndpointId("s1"), m_plain, "look", m_now)
                       > 1.4 * other.answerMs(EndpointId("s0"), m_plain, "look", m_now));
        CPPUNIT_ASSERT(other.takeUnsent(10).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestCostsTest);
