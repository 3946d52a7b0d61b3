#include "servers/serving/deadline_queue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Guards that a deadline can't be entered without the timer being told.
class DeadlineQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeadlineQueueTest);
    CPPUNIT_TEST(earlierDeadlineIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void earlierDeadlineIsReported()
    {
        const Instant now = instantFromMicroseconds(1'000'000);
        DeadlineQueue queue;
        unsigned reports = 0;
        queue.setEarlierHandler([&] {
            ++reports;
            CPPUNIT_ASSERT(queue.earliest());
        });
        queue.reschedule(1, {}, now + milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(1U, reports);
        queue.reschedule(2, {}, now + milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(1U, reports);
        queue.reschedule(2, now + milliseconds(900), now + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(2U, reports);
        CPPUNIT_ASSERT(*queue.earliest() == now + milliseconds(100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadlineQueueTest);
