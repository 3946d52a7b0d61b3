#include "tests/support/caller.h"
#include "tests/support/scripted_endpoint.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callTimeout{4000};
/// As ScriptedEndpoint answers status checks.
constexpr std::string_view statusAnswer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

std::string streamEvent(const std::string &id)
{
    return "id: 1\ndata: " + id + "\n\n";
}

} // namespace

/// Checks what callers of a real daemon get if an endpoint repeats its answer to a status check,
/// which has no id, where the answer to a later request on the connection is due.
class RepeatedStatusAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedStatusAnswerTest);
    CPPUNIT_TEST(nextRequestsGetTheirOwnAnswers);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestSite> m_site;
    std::unique_ptr<ScriptedEndpoint> m_endpoint;
    std::atomic<unsigned> m_repeats = 0;

    /// Answers a stream or another request. Before the answer to "next-...", if that comes on a
    /// connection that was used before, it repeats the answer to the status check.
    void serve(const ScriptedRequest &request, const RawSocket &socket)
    {
        if (request.id.starts_with("next-") && !request.previousId.empty()) {
            ++m_repeats;
            socket.send(statusAnswer);
        }
        const bool isStream = request.path.starts_with("/review/");
        const std::string body = isStream ? streamEvent(request.id) : request.id;
        socket.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id
                    + (isStream ? "\r\nContent-Type: text/event-stream" : "")
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    CallResult call(const std::string &path, const std::string &id)
    {
        return Caller().call(m_site->daemons().front()->callerPort(), path, id, callTimeout);
    }

public:
    void setUp() override
    {
        m_site = std::make_unique<TestSite>();
        m_site->publish(1, "model");
        m_endpoint = std::make_unique<ScriptedEndpoint>(
                m_site->platform(), "model-1", "model",
                [this](const ScriptedRequest &request, RawSocket &socket) {
                    serve(request, socket);
                });
        m_site->startDaemon("/review/1");
    }
    void tearDown() override
    {
        m_endpoint.reset();
        m_site.reset();
    }

    // The next caller on the connection got the status of the endpoint as a whole 200.
    void nextRequestsGetTheirOwnAnswers()
    {
        for (const std::string path : {"/review/1", "/book/1", "/review/2"}) {
            CPPUNIT_ASSERT_EQUAL(200, call("/review/1", "first-" + path).status);
            const CallResult next = call(path, "next-" + path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path + ": " + next.body, next.id, "next-" + path);
            CPPUNIT_ASSERT_EQUAL(200, next.status);
            CPPUNIT_ASSERT_EQUAL(path == "/book/1" ? next.id : streamEvent(next.id), next.body);
        }
        CPPUNIT_ASSERT_EQUAL(3U, m_repeats.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedStatusAnswerTest);
