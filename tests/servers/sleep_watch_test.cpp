#include "servers/mesh/sleep_watch.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::milliseconds;

class SleepWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SleepWatchTest);
    CPPUNIT_TEST(regularCallsAreNoSleep);
    CPPUNIT_TEST(longGapIsToldOnce);
    CPPUNIT_TEST_SUITE_END();

    SleepWatch m_watch;
    Instant m_now = instantFromMicroseconds(1'000'000);

public:
    void regularCallsAreNoSleep()
    {
        for (int call = 0; call < 50; ++call)
            CPPUNIT_ASSERT(!m_watch.hasSlept(m_now += milliseconds(100)));
    }

    void longGapIsToldOnce()
    {
        m_watch.hasSlept(m_now);
        CPPUNIT_ASSERT(m_watch.hasSlept(m_now += milliseconds(6000)));
        CPPUNIT_ASSERT(!m_watch.hasSlept(m_now += milliseconds(100)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SleepWatchTest);
