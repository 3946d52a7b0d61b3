#include "servers/mesh/process_pause_detector.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::milliseconds;

class ProcessPauseDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessPauseDetectorTest);
    CPPUNIT_TEST(regularCallsAreNoPause);
    CPPUNIT_TEST(longGapIsReportedOnce);
    CPPUNIT_TEST_SUITE_END();

    ProcessPauseDetector m_detector;
    Instant m_now = instantFromMicroseconds(1'000'000);

public:
    void regularCallsAreNoPause()
    {
        for (int call = 0; call < 50; ++call)
            CPPUNIT_ASSERT(!m_detector.detectPause(m_now += milliseconds(100)));
    }

    void longGapIsReportedOnce()
    {
        m_detector.detectPause(m_now);
        CPPUNIT_ASSERT(m_detector.detectPause(m_now += milliseconds(6000)));
        CPPUNIT_ASSERT(!m_detector.detectPause(m_now += milliseconds(100)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessPauseDetectorTest);
