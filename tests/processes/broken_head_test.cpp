#include "tests/support/caller.h"
#include "tests/support/scripted_endpoint.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callTimeout{4000};

struct Cut
{
    std::string name;
    std::string head; ///< What the endpoint sends.
};

const std::vector<Cut> cuts{
        {"before the first byte", ""},
        {"in the status line", "HTTP/1.1 200 O"},
        {"in a field's name", "HTTP/1.1 200 OK\r\nX-Attem"},
        {"after a complete line", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
        {"before the last line end", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"}};

} // namespace

/// Checks what callers of a real daemon get if the head of an endpoint's answer breaks off.
class BrokenAnswerHeadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswerHeadTest);
    CPPUNIT_TEST(unsafeRequestIsSentOnceAndNotCalledNotRun);
    CPPUNIT_TEST(safeRequestAndResumableStreamAreSentAgain);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestSite> m_site;
    std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;
    std::atomic<unsigned> m_cutsOnKeptConnections = 0;

    static void answer(const ScriptedRequest &request, const RawSocket &socket)
    {
        const bool isStream = request.path.starts_with("/review/");
        const std::string body = isStream ? "id: 1\ndata: x\n\n" : request.id;
        socket.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id
                    + "\r\nContent-Type: " + (isStream ? "text/event-stream" : "text/plain")
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// The id of a request begins with the number of its cut, or is "start" or "sound". Requests
    /// to ".../declined" are declined once before.
    void serve(const ScriptedRequest &request, RawSocket &socket)
    {
        m_site->runCounter().countRun(request.id);
        const unsigned arrival = m_site->runCounter().runCount(request.id);
        const unsigned breakAt = request.path.ends_with("declined") ? 2 : 1;
        if (request.id.starts_with("s") || arrival > breakAt) {
            answer(request, socket);
            return;
        }
        if (arrival < breakAt) {
            socket.send("HTTP/1.1 503 Full\r\nX-Attempt-Id: " + request.id
                        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (!request.previousId.empty())
            ++m_cutsOnKeptConnections;
        socket.send(cuts.at(std::stoul(request.id)).head);
        if (request.id.find("reset") == std::string::npos) {
            socket.close();
            return;
        }
        std::this_thread::sleep_for(milliseconds(10));
        socket.reset();
    }

    /// Calls `check` with the answer to a request under each cut and end of the connection, on a
    /// new connection to the endpoint and on a kept one.
    void forEachCut(const std::string &path,
                    const std::function<void(const CallResult &, const std::string &)> &check)
    {
        const unsigned port = m_site->daemons().front()->callerPort();
        for (std::size_t cut = 0; cut < cuts.size(); ++cut) {
            for (const std::string ending : {"-close", "-reset"}) {
                for (const std::string connection : {"-new", "-kept"}) {
                    const std::string id = std::to_string(cut) + ending + connection + path;
                    if (connection == "-kept")
                        Caller().call(port, path, "sound" + id, callTimeout);
                    const CallResult result = Caller().call(port, path, id, callTimeout);
                    const std::string name = cuts.at(cut).name + ending + connection;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, id, result.id);
                    check(result, name);
                }
            }
        }
    }

    void expectSends(const std::string &path, unsigned sends)
    {
        forEachCut(path, [&](const CallResult &result, const std::string &name) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 502, result.status);
            CPPUNIT_ASSERT_MESSAGE(name + ": " + result.body, !result.saysNotRun);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, sends, m_site->runCounter().runCount(result.id));
        });
    }

    void expectSentAgain(const std::string &path, const std::string &body)
    {
        forEachCut(path, [&](const CallResult &result, const std::string &name) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, result.status);
            CPPUNIT_ASSERT_MESSAGE(name, result.isComplete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, body.empty() ? result.id : body, result.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 2U, m_site->runCounter().runCount(result.id));
        });
    }

public:
    void setUp() override
    {
        m_site = std::make_unique<TestSite>();
        m_site->publish(1);
        for (const char *service : {"plain", "model"}) {
            m_endpoints.push_back(std::make_unique<ScriptedEndpoint>(
                    m_site->platform(), service, service,
                    [this](const ScriptedRequest &request, RawSocket &socket) {
                        serve(request, socket);
                    }));
        }
        m_site->startDaemon("/look/1");
    }
    void tearDown() override
    {
        m_endpoints.clear();
        m_site.reset();
    }

    // A route of a kind that the daemon doesn't know counts as unsafe. What was declined certainly
    // did not run.
    void unsafeRequestIsSentOnceAndNotCalledNotRun()
    {
        expectSends("/book/1", 1);
        expectSends("/order/1", 1);
        expectSends("/book/declined", 2);
        CPPUNIT_ASSERT(m_cutsOnKeptConnections > 0);
    }

    void safeRequestAndResumableStreamAreSentAgain()
    {
        expectSentAgain("/look/1", {});
        expectSentAgain("/review/1", "id: 1\ndata: x\n\n");
        CPPUNIT_ASSERT(m_cutsOnKeptConnections > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerHeadTest);
