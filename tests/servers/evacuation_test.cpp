#include "tests/servers/serving_bench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards the streams of engines that leave, and of engines that fall silent.
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(leavingEngineGetsNoNewWork);
    CPPUNIT_TEST(streamMovesBeforeItsEngineEnds);
    CPPUNIT_TEST(movedRunGoesOnWithItsMemory);
    CPPUNIT_TEST(movedRunGoesOnAlsoIfItsStreamEndsFirst);
    CPPUNIT_TEST(movedRunGoesOnIfItsOldStreamStaysOpen);
    CPPUNIT_TEST(failedMoveOfABrokenStreamResumes);
    CPPUNIT_TEST(streamThatEndsInTimeIsNotMoved);
    CPPUNIT_TEST(resumableRequestThatHasNotBegunStartsElsewhere);
    CPPUNIT_TEST(otherRequestThatHasNotBegunStays);
    CPPUNIT_TEST(silentEngineLosesItsStreams);
    CPPUNIT_TEST(singleStreamMayPauseForAWhile);
    CPPUNIT_TEST_SUITE_END();

    ServingBench m_bench;

    /// Starts a stream, and has its engine leave in two seconds.
    RequestNumber leavingStream(const std::string &path)
    {
        const RequestNumber request = m_bench.arrive(path);
        m_bench.progress(request, 3, 3);
        leave(request);
        return request;
    }

    /// Lets time pass while the stream brings events.
    void flow(RequestNumber request, Duration duration)
    {
        const Instant end = m_bench.now + duration;
        for (EventId event = 4; m_bench.now < end; ++event) {
            m_bench.progress(request, 1, event);
            m_bench.advance(milliseconds(100));
        }
    }

    void leave(RequestNumber request)
    {
        m_bench.list(m_bench.newest(request).instance, "model", true, seconds(2));
    }

    void answerMove(RunMoveResult result)
    {
        const RunMove &move = m_bench.traffic.moves.back();
        m_bench.core.handleMoveEnd({.request = move.request,
                                    .attempt = move.attempt,
                                    .result = result,
                                    .handle = "h1"},
                                   m_bench.now);
    }

public:
    void leavingEngineGetsNoNewWork()
    {
        const RequestNumber request = leavingStream("/plan/1");
        const EndpointId leaving = m_bench.newest(request).endpoint;
        for (int count = 0; count < 40; ++count)
            CPPUNIT_ASSERT(m_bench.newest(m_bench.arrive("/plan/1")).endpoint != leaving);
    }

    void streamMovesBeforeItsEngineEnds()
    {
        const RequestNumber request = leavingStream("/plan/1");
        m_bench.progress(request, 1, 4);
        CPPUNIT_ASSERT(m_bench.traffic.moves.empty());
        m_bench.advance(milliseconds(1300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.moves.size());
        CPPUNIT_ASSERT(m_bench.traffic.moves.back().source == m_bench.newest(request).endpoint);
    }

    void movedRunGoesOnWithItsMemory()
    {
        const RequestNumber request = leavingStream("/plan/1");
        m_bench.advance(milliseconds(1300));
        answerMove(RunMoveResult::Moved);
        m_bench.progress(request, 1, 9);
        m_bench.end(request, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        const AttemptStart &start = m_bench.newest(request);
        CPPUNIT_ASSERT(start.cache.kind == CacheSource::Kind::Moved);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), start.cache.handle);
        CPPUNIT_ASSERT_EQUAL(EventId{9}, *start.resumeAfter);
        m_bench.end(request, AttemptResult::Streamed);
        CPPUNIT_ASSERT(m_bench.core.isIdle());
        CPPUNIT_ASSERT(m_bench.traffic.refusals.empty());
    }

    void movedRunGoesOnAlsoIfItsStreamEndsFirst()
    {
        const RequestNumber request = leavingStream("/plan/1");
        m_bench.advance(milliseconds(1300));
        m_bench.end(request, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.starts.size());
        answerMove(RunMoveResult::Moved);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
    }

    void movedRunGoesOnIfItsOldStreamStaysOpen()
    {
        leavingStream("/plan/1");
        m_bench.advance(milliseconds(1300));
        answerMove(RunMoveResult::Moved);
        m_bench.advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.cancelled.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
    }

    void failedMoveOfABrokenStreamResumes()
    {
        const RequestNumber request = leavingStream("/review/1");
        flow(request, milliseconds(1300));
        m_bench.end(request, AttemptResult::Interrupted);
        answerMove(RunMoveResult::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.newest(request).cache.kind != CacheSource::Kind::Moved);
    }

    void streamThatEndsInTimeIsNotMoved()
    {
        const RequestNumber request = leavingStream("/plan/1");
        m_bench.advance(milliseconds(1000));
        m_bench.end(request, AttemptResult::Streamed);
        m_bench.advance(seconds(2));
        CPPUNIT_ASSERT(m_bench.traffic.moves.empty());
    }

    void resumableRequestThatHasNotBegunStartsElsewhere()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        leave(request);
        m_bench.advance(milliseconds(1300));
        CPPUNIT_ASSERT(m_bench.traffic.moves.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
    }

    // It may begin at any moment, and a second run would be one too many.
    void otherRequestThatHasNotBegunStays()
    {
        const RequestNumber request = m_bench.arrive("/plan/1");
        leave(request);
        m_bench.advance(milliseconds(1900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.traffic.cancelled.empty());
    }

    void silentEngineLosesItsStreams()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        m_bench.progress(request, 3, 3);
        m_bench.advance(milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT_EQUAL(EventId{3}, *m_bench.newest(request).resumeAfter);
        // The old run is stopped at the moment at which the new one is sent.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.cancelled.size());
    }

    void singleStreamMayPauseForAWhile()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        m_bench.progress(request, 3, 3);
        m_bench.advance(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);
