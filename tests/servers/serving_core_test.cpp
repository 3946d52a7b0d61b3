#include "tests/servers/serving_bench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards the life of a request: what may run again, what is told to the caller, and when.
class ServingCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingCoreTest);
    CPPUNIT_TEST(wholeAnswerIsDelivered);
    CPPUNIT_TEST(interruptedBookingIsNeverSentAgain);
    CPPUNIT_TEST(declinedBookingGoesElsewhere);
    CPPUNIT_TEST(declinedEverywhereDidNotRun);
    CPPUNIT_TEST(failedLookupIsTriedOnASecondEndpointOnly);
    CPPUNIT_TEST(slowLookupIsHedgedOnAnotherEndpoint);
    CPPUNIT_TEST(bookingIsNeverHedged);
    CPPUNIT_TEST(brokenStreamResumesAfterItsLastEvent);
    CPPUNIT_TEST(brokenStreamThatMayNotResumeEndsIncomplete);
    CPPUNIT_TEST(failureAfterTheFirstEventsIsNotDelivered);
    CPPUNIT_TEST(streamRunsOnNoMoreEndpointsThanItsRouteAllows);
    CPPUNIT_TEST(deadlineOfARunIsNoPromise);
    CPPUNIT_TEST(callerThatLeavesEndsItsWork);
    CPPUNIT_TEST(unknownKeyIsRefusedForGoodOnlyWithAFreshConfiguration);
    CPPUNIT_TEST(withoutConfigurationNothingIsRefusedForGood);
    CPPUNIT_TEST(misdirectedRequestMarksTheEndpoint);
    CPPUNIT_TEST(repeatsStayWithinTheBudget);
    CPPUNIT_TEST(stoppingInstanceRefusesNewRequests);
    CPPUNIT_TEST(answersAndRefusalsAreMeasured);
    CPPUNIT_TEST(waitingStreamLeavesAnEndpointThatPeersSuspect);
    CPPUNIT_TEST(waitingStreamStaysIfNobodySuspectsItsEndpoint);
    CPPUNIT_TEST(endpointThatSaysItLeavesGetsNoNewRequests);
    CPPUNIT_TEST(laterEntryDoesNotReviveAnEndpointThatSaysItLeaves);
    CPPUNIT_TEST(closedEndpointGetsNothing);
    CPPUNIT_TEST(closedEndpointGetsNoHedge);
    CPPUNIT_TEST(closedServiceRefusesAtOnceWithTheEarliestTime);
    CPPUNIT_TEST_SUITE_END();

    ServingBench m_bench;

public:
    void wholeAnswerIsDelivered()
    {
        const RequestNumber request = m_bench.arrive("/book/1");
        CPPUNIT_ASSERT_EQUAL(std::string("club"), m_bench.newest(request).account.value());
        m_bench.end(request, AttemptResult::Answered, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.delivered.size());
        CPPUNIT_ASSERT(m_bench.core.isIdle());
    }

    void interruptedBookingIsNeverSentAgain()
    {
        const RequestNumber request = m_bench.arrive("/book/1");
        m_bench.end(request, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.starts.size());
        // 502 promises nothing; 503 would promise that it did not run.
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::EndpointFailed);
    }

    void declinedBookingGoesElsewhere()
    {
        const RequestNumber request = m_bench.arrive("/book/1");
        const EndpointId first = m_bench.newest(request).endpoint;
        m_bench.end(request, AttemptResult::Declined, 503);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.newest(request).endpoint != first);
    }

    void declinedEverywhereDidNotRun()
    {
        const RequestNumber request = m_bench.arrive("/book/1");
        while (!m_bench.core.isIdle())
            m_bench.end(request, AttemptResult::Declined, 503);
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(m_bench.traffic.refusals.back().retryAt.has_value());
    }

    void failedLookupIsTriedOnASecondEndpointOnly()
    {
        const RequestNumber request = m_bench.arrive("/look/1");
        const EndpointId first = m_bench.newest(request).endpoint;
        m_bench.end(request, AttemptResult::Answered, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.newest(request).endpoint != first);
        m_bench.end(request, AttemptResult::Answered, 500);
        // The endpoint's own failure is passed on, since the route allows two runs.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.delivered.size());
    }

    void slowLookupIsHedgedOnAnotherEndpoint()
    {
        const RequestNumber request = m_bench.arrive("/look/1");
        const AttemptStart first = m_bench.newest(request);
        m_bench.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.newest(request).endpoint != first.endpoint);
        m_bench.end(request, AttemptResult::Answered, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.delivered.size());
        CPPUNIT_ASSERT_EQUAL(first.attempt, m_bench.traffic.cancelled.back().second);
    }

    void bookingIsNeverHedged()
    {
        m_bench.arrive("/book/1");
        m_bench.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.starts.size());
    }

    void brokenStreamResumesAfterItsLastEvent()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        m_bench.progress(request, 5, 7);
        m_bench.end(request, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT_EQUAL(EventId{7}, *m_bench.newest(request).resumeAfter);
    }

    void brokenStreamThatMayNotResumeEndsIncomplete()
    {
        const RequestNumber request = m_bench.arrive("/plan/1");
        m_bench.progress(request, 5, 7);
        m_bench.end(request, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::AnswerInterrupted);
    }

    // The first hunt (trouble-1, seed 1023743445518): the failure of a resumed run was written into
    // the middle of the stream.
    void failureAfterTheFirstEventsIsNotDelivered()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        m_bench.progress(request, 5, 7);
        m_bench.end(request, AttemptResult::Interrupted);
        m_bench.end(request, AttemptResult::Answered, 500);
        CPPUNIT_ASSERT(m_bench.traffic.delivered.empty());
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::AnswerInterrupted);
    }

    // sipka-fleet-grown, trouble-1: BUDGET, streams ran on three engines of a route with two.
    void streamRunsOnNoMoreEndpointsThanItsRouteAllows()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        m_bench.progress(request, 1, 1);
        m_bench.end(request, AttemptResult::Interrupted);
        m_bench.progress(request, 1, 2);
        m_bench.end(request, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
    }

    void deadlineOfARunIsNoPromise()
    {
        const RequestNumber request = m_bench.arrive("/book/1");
        m_bench.advance(seconds(5));
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::DeadlineExceeded);
        CPPUNIT_ASSERT_EQUAL(request, m_bench.traffic.cancelled.back().first);
    }

    void callerThatLeavesEndsItsWork()
    {
        const RequestNumber request = m_bench.arrive("/review/1");
        m_bench.core.handleCallerDisconnect(request, m_bench.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_bench.traffic.cancelled.size());
        CPPUNIT_ASSERT(m_bench.core.isIdle());
    }

    void unknownKeyIsRefusedForGoodOnlyWithAFreshConfiguration()
    {
        m_bench.arrive("/book/1", "other");
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::Unauthenticated);
        m_bench.context.limits.maxConfigurationAge = Duration::zero();
        m_bench.arrive("/book/1", "other");
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::NotReady);
        m_bench.arrive("/nowhere/");
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::NotReady);
    }

    void withoutConfigurationNothingIsRefusedForGood()
    {
        m_bench.context.configuration.reset();
        m_bench.arrive("/book/1");
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::NotReady);
    }

    void misdirectedRequestMarksTheEndpoint()
    {
        const RequestNumber request = m_bench.arrive("/book/1");
        const EndpointId first = m_bench.newest(request).endpoint;
        m_bench.end(request, AttemptResult::Misdirected, 421);
        CPPUNIT_ASSERT(m_bench.context.endpoints.find(first)->state == EndpointState::Leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_bench.traffic.starts.size());
    }

    void repeatsStayWithinTheBudget()
    {
        // 0.2 repeats for each request and 50 more, for one instance.
        constexpr int requests = 1000;
        for (int count = 0; count < requests; ++count) {
            const RequestNumber request = m_bench.arrive("/look/1");
            m_bench.end(request, AttemptResult::Answered, 500);
            if (!m_bench.core.isIdle())
                m_bench.end(request, AttemptResult::Answered, 500);
        }
        const std::size_t repeats = m_bench.traffic.starts.size() - requests;
        CPPUNIT_ASSERT(repeats > 100);
        CPPUNIT_ASSERT(repeats <= 250);
    }

    void stoppingInstanceRefusesNewRequests()
    {
        m_bench.context.refusesNew = true;
        m_bench.arrive("/book/1");
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::Stopping);
    }

    // An engine dies while this instance runs nothing else there: its peers notice the silence.
    void waitingStreamLeavesAnEndpointThatPeersSuspect()
    {
        const RequestNumber request = m_bench.arrive("/review/a");
        const EndpointId first = m_bench.newest(request).endpoint;
        for (int step = 0; step < 10; ++step) {
            m_bench.context.endpointHealth.recordPeerSuspicion(first, m_bench.now);
            m_bench.advance(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT(m_bench.newest(request).endpoint != first);
    }

    void waitingStreamStaysIfNobodySuspectsItsEndpoint()
    {
        const RequestNumber request = m_bench.arrive("/review/a");
        const EndpointId first = m_bench.newest(request).endpoint;
        m_bench.advance(std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT(m_bench.newest(request).endpoint == first);
    }

    void answersAndRefusalsAreMeasured()
    {
        const RequestNumber answered = m_bench.arrive("/look/a");
        m_bench.end(answered, AttemptResult::Answered);
        CPPUNIT_ASSERT_EQUAL(1U, m_bench.metrics.answers);
        CPPUNIT_ASSERT_EQUAL(0U, m_bench.metrics.pauses);
        const RequestNumber failed = m_bench.arrive("/book/a");
        m_bench.end(failed, AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(2U, m_bench.metrics.attempts);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_bench.metrics.refusals.size());
        CPPUNIT_ASSERT(m_bench.metrics.refusals.front() == m_bench.lastRefusal());
    }

    void endpointThatSaysItLeavesGetsNoNewRequests()
    {
        const EndpointId leaving = m_bench.newest(m_bench.arrive("/book/1")).endpoint;
        m_bench.core.handleEndpointLeaving(leaving, m_bench.now);
        for (int count = 0; count < 40; ++count)
            CPPUNIT_ASSERT(m_bench.newest(m_bench.arrive("/book/1")).endpoint != leaving);
    }

    void laterEntryDoesNotReviveAnEndpointThatSaysItLeaves()
    {
        const EndpointId leaving = m_bench.newest(m_bench.arrive("/book/1")).endpoint;
        m_bench.core.handleEndpointLeaving(leaving, m_bench.now);
        const std::string instance = m_bench.context.endpoints.find(leaving)->listing.instance;
        m_bench.advance(seconds(1));
        m_bench.list(instance, "desk");
        CPPUNIT_ASSERT(!m_bench.context.endpoints.find(leaving)->isUsable(m_bench.now));
    }

    /// Has an endpoint of "desk" decline a request and close itself. Returns the endpoint.
    EndpointId close(Duration duration)
    {
        const RequestNumber request = m_bench.arrive("/look/1");
        const AttemptStart attempt = m_bench.newest(request);
        m_bench.core.handleAttemptEnd({.request = request,
                                       .attempt = attempt.attempt,
                                       .result = AttemptResult::Declined,
                                       .status = 503,
                                       .closedUntil = m_bench.now + duration,
                                       .sentAt = m_bench.now},
                                      m_bench.now);
        return attempt.endpoint;
    }

    void closedEndpointGetsNothing()
    {
        const EndpointId closed = close(seconds(2));
        const std::size_t before = m_bench.traffic.starts.size();
        for (int step = 0; step < 19; ++step) {
            m_bench.advance(milliseconds(100));
            // Declined everywhere else, the request still may not go there.
            const RequestNumber request = m_bench.arrive("/book/1");
            for (int attempt = 0; attempt < 3; ++attempt)
                m_bench.end(request, AttemptResult::Declined, 503);
        }
        for (std::size_t index = before; index < m_bench.traffic.starts.size(); ++index)
            CPPUNIT_ASSERT(m_bench.traffic.starts.at(index).endpoint != closed);
        m_bench.advance(milliseconds(600));
        bool isUsed = false;
        for (int count = 0; count < 100 && !isUsed; ++count)
            isUsed = m_bench.newest(m_bench.arrive("/book/1")).endpoint == closed;
        CPPUNIT_ASSERT(isUsed);
    }

    void closedEndpointGetsNoHedge()
    {
        std::set<EndpointId> closed{close(seconds(5))};
        while (closed.size() < 3)
            closed.insert(close(seconds(5)));
        const RequestNumber request = m_bench.arrive("/look/1");
        const EndpointId open = m_bench.newest(request).endpoint;
        CPPUNIT_ASSERT(!closed.contains(open));
        const std::size_t before = m_bench.traffic.starts.size();
        m_bench.advance(milliseconds(300));
        for (std::size_t index = before; index < m_bench.traffic.starts.size(); ++index)
            CPPUNIT_ASSERT(!closed.contains(m_bench.traffic.starts.at(index).endpoint));
    }

    void closedServiceRefusesAtOnceWithTheEarliestTime()
    {
        std::set<EndpointId> closed;
        while (closed.size() < 3)
            closed.insert(close(seconds(3)));
        while (closed.size() < 4)
            closed.insert(close(milliseconds(1500)));
        const Instant earliest = m_bench.now + milliseconds(1500);
        const std::size_t before = m_bench.traffic.starts.size();
        m_bench.arrive("/book/1");
        CPPUNIT_ASSERT_EQUAL(before, m_bench.traffic.starts.size());
        CPPUNIT_ASSERT(m_bench.lastRefusal() == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(m_bench.traffic.refusals.back().retryAt == earliest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingCoreTest);
