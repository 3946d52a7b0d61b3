#include "tests/support/caller.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks by which configuration a real daemon handles requests while the store serves only the
/// other daemons.
class ConfigurationSpreadProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationSpreadProcessTest);
    CPPUNIT_TEST(daemonThatTheStoreResetsUsesTheNewConfiguration);
    CPPUNIT_TEST(daemonThatTheStoreDoesNotAnswerUsesTheNewConfiguration);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds callTimeout{4000};
    /// Limit for the time until a published configuration is in force.
    static constexpr seconds maxConfigurationDelay{2};
    /// By then the calls that were in progress when the fault began have failed.
    static constexpr seconds faultTime{3};

    TestSite m_site;
    unsigned m_calls = 0;

    void checkConfigurationDuring(FaultProxy::Fault fault)
    {
        m_site.startUp(3);
        const std::string platform = m_site.platform().address();
        FaultProxy proxy(
                static_cast<unsigned>(std::stoul(platform.substr(platform.find(':') + 1))));
        DaemonProcess daemon("entry-9", proxy.address(), m_site.folder());
        daemon.start();
        const auto status = [&] {
            Caller caller;
            const std::string id = "r" + std::to_string(++m_calls);
            return caller.call(daemon.callerPort(), "/look/1", id, callTimeout).status;
        };
        CPPUNIT_ASSERT(waitUntil(seconds(10), [&] { return status() == 200; }));
        proxy.setFault(fault);
        std::this_thread::sleep_for(faultTime);
        m_site.publish(2, "plain", {"another"});
        CPPUNIT_ASSERT(waitUntil(maxConfigurationDelay, [&] { return status() == 401; }));
        m_site.publish(3, "plain", {"key"});
        CPPUNIT_ASSERT(waitUntil(maxConfigurationDelay, [&] { return status() == 200; }));
        proxy.stop();
    }

public:
    void daemonThatTheStoreResetsUsesTheNewConfiguration()
    {
        checkConfigurationDuring(FaultProxy::Fault::Reset);
    }
    void daemonThatTheStoreDoesNotAnswerUsesTheNewConfiguration()
    {
        checkConfigurationDuring(FaultProxy::Fault::Silence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSpreadProcessTest);
