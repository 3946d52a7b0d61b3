#include "tests/support/caller.h"
#include "tests/support/scripted_endpoint.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callTimeout{4000};
/// Long enough for the daemon to handle what was sent before.
constexpr milliseconds handlingTime{50};
constexpr std::size_t uploadBytes = 4'000'000;

/// How an endpoint ends the connection after the first part of its answer, by the id's beginning.
const std::vector<std::string> endings{"reset-at-once", "reset-later", "end", "end-and-reset",
                                       "end-and-reset-later"};

std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

/// Checks what callers of a real daemon get if an endpoint answers a long upload early and ends the
/// connection while the upload is still being written.
class EarlyAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyAnswerTest);
    CPPUNIT_TEST(partOfAnAnswerDuringAnUploadIsNotComplete);
    CPPUNIT_TEST(framedAnswerDuringAnUploadIsDelivered);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestSite> m_site;
    std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;
    bool m_isFramed = false;
    std::atomic<unsigned> m_openConnections = 0; ///< Those on which a request is being answered.

    /// The first run of an upload answers early; without a framing, it leaves out the second half.
    void serve(const ScriptedRequest &request, RawSocket &socket)
    {
        ++m_openConnections;
        m_site->runCounter().countRun(request.id);
        const bool isStream = request.path.starts_with("/review/");
        const bool isSound = request.id == "start" || m_site->runCounter().runCount(request.id) > 1;
        const std::string first = request.resumeAfter.empty() ? event(1) : std::string();
        const std::string body = first + event(2);
        std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id
                + "\r\nContent-Type: " + (isStream ? "text/event-stream" : "text/plain") + "\r\n";
        if (isSound || m_isFramed)
            socket.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                        + body);
        else
            socket.send(head + "\r\n" + event(1));
        if (!isSound)
            end(request.id, socket);
        socket.close();
        --m_openConnections;
    }

    /// Waits until the endpoints have closed the connections of earlier requests. Their answers
    /// allow that these are kept, so the daemon might send an upload on one that is about to close,
    /// and what can't be repeated would fail.
    bool waitForClosedConnections() const
    {
        return waitUntil(callTimeout, [this] { return m_openConnections == 0; });
    }

    static void end(const std::string &id, RawSocket &socket)
    {
        if (id.starts_with("end"))
            socket.endSending();
        if (!id.starts_with("reset-at-once") && !id.starts_with("end-and-reset/"))
            std::this_thread::sleep_for(handlingTime);
        if (id.find("reset") != std::string::npos)
            socket.reset();
    }

    CallResult upload(const std::string &ending, const std::string &path) const
    {
        CPPUNIT_ASSERT(waitForClosedConnections());
        return Caller().upload(m_site->daemons().front()->callerPort(), path, ending + path,
                               callTimeout, std::string(uploadBytes, 'q'));
    }

    static std::string describe(const CallResult &result, unsigned runs)
    {
        return std::to_string(result.status) + (result.isComplete ? " complete, " : " cut, ")
                + std::to_string(result.body.size()) + " bytes, " + std::to_string(runs) + " runs";
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
                    },
                    ScriptedEndpoint::Reading::Head));
        }
        m_site->startDaemon("/look/1");
    }
    void tearDown() override
    {
        m_endpoints.clear();
        m_site.reset();
    }

    // Guards against a part of an answer that a caller takes for the whole one.
    void partOfAnAnswerDuringAnUploadIsNotComplete()
    {
        std::string faults;
        for (const std::string &ending : endings) {
            for (const std::string path : {"/book/1", "/order/1", "/look/1", "/review/1"}) {
                const CallResult result = upload(ending, path);
                const unsigned runs = m_site->runCounter().runCount(ending + path);
                const bool mayRepeat = path == "/look/1" || path == "/review/1";
                const bool isSound = mayRepeat
                        ? result.status == 200 && result.isComplete && runs == 2
                                && result.body == event(1) + event(2)
                        : result.status == 502 && !result.saysNotRun && runs == 1;
                if (!isSound)
                    faults += "\n" + ending + path + ": " + describe(result, runs);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    void framedAnswerDuringAnUploadIsDelivered()
    {
        m_isFramed = true;
        std::string faults;
        for (const std::string &ending : endings) {
            for (const std::string path : {"/book/1", "/look/1", "/review/1"}) {
                const CallResult result = upload(ending, path);
                const unsigned runs = m_site->runCounter().runCount(ending + path);
                if (result.status != 200 || !result.isComplete || runs != 1
                    || result.body != event(1) + event(2))
                    faults += "\n" + ending + path + ": " + describe(result, runs);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyAnswerTest);
