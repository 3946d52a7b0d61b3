#include "drivers/logging/log_timeline.h"
#include "tests/support/caller.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <sstream>
#include <thread>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks that the log is enough to find the cause of a failed request by its id, in the way that
/// docs/OPERATIONS.md describes.
class ExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(refusalNamesTheEndpointsThatLeft);
    CPPUNIT_TEST(brokenStreamNamesItsEndpoint);
    CPPUNIT_TEST(lateAnswerNamesTheSlowAttempt);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestSite> m_site;
    unsigned m_calls = 0;

    CallResult call(const std::string &path, const std::string &id)
    {
        return Caller().call(m_site->daemons().front()->callerPort(), path, id, seconds(3));
    }
    /// Sends requests until an answer has `status`. Returns the id of that request.
    std::string callUntil(const std::string &path, int status)
    {
        std::string id;
        std::string answers;
        const bool hasStatus = waitUntil(seconds(5), [&] {
            id = "call-" + std::to_string(++m_calls);
            const CallResult result = call(path, id);
            answers += std::to_string(result.status) + " " + result.body + "\n";
            return result.status == status;
        });
        CPPUNIT_ASSERT_MESSAGE(answers, hasStatus);
        return id;
    }
    /// Waits until the log has `lastEvent` of the request. Returns the time line of the request.
    std::string explain(const std::string &id, const std::string &lastEvent) const
    {
        std::string text;
        const bool isComplete = waitUntil(seconds(3), [&] {
            LogTimeline timeline(id);
            std::istringstream log(m_site->daemons().front()->log());
            timeline.read(log);
            text.clear();
            for (const auto &line : timeline.lines(5))
                text += formatLogLine(line) + "\n";
            return text.find(lastEvent) != std::string::npos;
        });
        CPPUNIT_ASSERT_MESSAGE(lastEvent + " is missing in\n" + text, isComplete);
        return text;
    }
    static void assertHas(const std::string &text, const std::string &part)
    {
        CPPUNIT_ASSERT_MESSAGE(part + " is missing in\n" + text,
                               text.find(part) != std::string::npos);
    }

public:
    void setUp() override
    {
        m_site = std::make_unique<TestSite>();
        m_site->startUp(1);
    }
    void tearDown() override { m_site.reset(); }

    void refusalNamesTheEndpointsThatLeft()
    {
        m_site->endpoints().at(0)->announceLeaving();
        m_site->endpoints().at(1)->crash();
        const std::string text = explain(callUntil("/look/1", 503), "request-refused");
        assertHas(text, "kind=no-endpoint");
        assertHas(text, "endpoint-state endpoint=plain-1");
        assertHas(text, "state=leaving");
        assertHas(text, "endpoint-state endpoint=plain-2");
        assertHas(text, "state=unlisted");
    }

    void brokenStreamNamesItsEndpoint()
    {
        for (std::size_t index : {2, 3})
            m_site->endpoints().at(index)->crash();
        FakeEndpoint &endpoint = m_site->addEndpoint("model", milliseconds(100));
        callUntil("/review/1", 200);
        std::jthread crash([&endpoint] {
            std::this_thread::sleep_for(milliseconds(350));
            endpoint.proxy().setFault(FaultProxy::Fault::Reset);
        });
        const CallResult result = call("/review/1", "broken");
        CPPUNIT_ASSERT(!result.isComplete);
        const std::string text = explain("broken", "request-refused");
        assertHas(text, "endpoint=model-5");
        assertHas(text, "result=interrupted");
        assertHas(text, "kind=answer-interrupted");
    }

    void lateAnswerNamesTheSlowAttempt()
    {
        // The next request uses the connection that is open, to the endpoint of the previous
        // request.
        const std::string before = explain(callUntil("/look/1", 200), "request-answered");
        const bool isFirst = before.find("endpoint=plain-1") != std::string::npos;
        m_site->endpoints().at(isFirst ? 0 : 1)->proxy().setFault(FaultProxy::Fault::Silence);
        const std::string text = explain(callUntil("/look/1", 200), "request-answered");
        assertHas(text, "endpoint=plain-1");
        assertHas(text, "endpoint=plain-2");
        assertHas(text, "repeats=1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);
