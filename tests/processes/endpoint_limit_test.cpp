#include "tests/support/caller.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <thread>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned daemonCount = 3;
constexpr milliseconds callTimeout{4000};
constexpr milliseconds engineWorkTime{2};
constexpr milliseconds callInterval{15};
constexpr seconds loadTime{10};
/// From the first answer that names a limit until all instances keep it.
constexpr seconds noticeTime{3};
constexpr seconds window{4};
constexpr double requestsPerSecond = 2;
/// One and a half times what the limit allows in a window, and 5 requests.
constexpr auto maxRequestsInWindow =
        static_cast<long>(1.5 * requestsPerSecond * window.count() + 5);

} // namespace

/// Checks how many requests real daemons together send to an endpoint that limits them.
class EndpointLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointLimitTest);
    CPPUNIT_TEST(limitedEndpointGetsNoMoreThanItsLimitFromAllInstances);
    CPPUNIT_TEST_SUITE_END();

    TestSite m_site;

public:
    void limitedEndpointGetsNoMoreThanItsLimitFromAllInstances()
    {
        m_site.startUp(daemonCount);
        FakeEndpoint &limited = m_site.addEndpoint("model", engineWorkTime);
        limited.setRequestLimit(std::to_string(requestsPerSecond));
        std::this_thread::sleep_for(seconds(1));
        const auto begin = std::chrono::steady_clock::now();
        unsigned calls = 0;
        while (std::chrono::steady_clock::now() < begin + loadTime) {
            const std::string id = "r" + std::to_string(++calls);
            const unsigned port = m_site.daemons().at(calls % daemonCount)->callerPort();
            const CallResult result = Caller().call(port, "/review/1", id, callTimeout);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, 200, result.status);
            std::this_thread::sleep_for(callInterval);
        }
        const auto times = limited.requestTimes();
        CPPUNIT_ASSERT(!times.empty());
        for (auto first = times.begin(); first != times.end(); ++first) {
            if (*first < times.front() + noticeTime)
                continue;
            const auto count = std::upper_bound(first, times.end(), *first + window) - first;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " requests in 4 s",
                                   count <= maxRequestsInWindow);
        }
        // The endpoint still takes its share.
        CPPUNIT_ASSERT(times.back() > begin + loadTime - window);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLimitTest);
