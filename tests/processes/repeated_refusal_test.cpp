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
/// Long enough for a daemon to read what was sent before.
constexpr milliseconds readTime{10};

std::string refusal(const std::string &statusLine, const std::string &id,
                    const std::string &fields = {})
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n"
            + fields + "Content-Length: 4\r\n\r\nbusy";
}

std::string answer(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
            + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

/// Returns the refusal of a request whose id contains its status.
std::string refusalOf(const std::string &id)
{
    return refusal(id.find("429") == std::string::npos ? "503 Full" : "429 Limited", id);
}

void sendInTwoParts(const RawSocket &socket, const std::string &text)
{
    const std::size_t split = text.find("X-Not") + 5;
    socket.send(text.substr(0, split));
    std::this_thread::sleep_for(readTime);
    socket.send(text.substr(split));
}

} // namespace

/// Checks what callers of a real daemon get if an endpoint repeats an earlier refusal.
class RepeatedRefusalDaemonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedRefusalDaemonTest);
    CPPUNIT_TEST(nextRequestGetsItsOwnAnswer);
    CPPUNIT_TEST(misdirectedUnsafeRequestRunsOnceElsewhere);
    CPPUNIT_TEST(unsafeRequestRunsOnceThoughItsOwnRefusalIsRepeated);
    CPPUNIT_TEST(requestThatRanIsNotCalledNotRunByItsOwnRepeatedRefusal);
    CPPUNIT_TEST(repeatDoesNotCloseTheEndpointToOtherRequests);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestSite> m_site;
    std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;
    std::atomic<bool> m_misdirects = false; ///< Whether the next request gets 421.
    std::atomic<unsigned> m_repeats = 0;    ///< Refusals repeated after another request.
    RunCounter m_arrivals;                  ///< Of each request, whether it then runs or not.

    void run(const ScriptedRequest &request, const RawSocket &socket)
    {
        m_site->runCounter().countRun(request.id);
        socket.send(answer(request.id));
    }

    /// Refuses "first-..." once and repeats that refusal to "next-..." on the same connection. The
    /// rest of an id names the path, the status and when the refusal is repeated.
    void serve(const ScriptedRequest &request, const RawSocket &socket)
    {
        m_arrivals.countRun(request.id);
        const std::string name = request.id.substr(request.id.find('-') + 1);
        const std::string text = refusalOf("first-" + name);
        const bool isFirst = request.id.starts_with("first-");
        if (isFirst && m_arrivals.runCount(request.id) == 1) {
            socket.send(text);
            return;
        }
        if (!isFirst && request.previousId == "first-" + name) {
            ++m_repeats;
            if (name.ends_with("after"))
                socket.send(text);
            else if (name.ends_with("parts"))
                sendInTwoParts(socket, text);
        }
        run(request, socket);
        if (!isFirst || !name.ends_with("before"))
            return;
        std::this_thread::sleep_for(readTime);
        socket.send(text);
    }

    /// Repeats a refusal as the id says: at once with the answer that follows, before it, in two
    /// parts, or twice.
    static void repeatOwnRefusal(const std::string &id, const RawSocket &socket)
    {
        const std::string text = refusalOf(id);
        if (id.find("with") != std::string::npos) {
            socket.send(text + answer(id));
            return;
        }
        if (id.find("parts") != std::string::npos)
            sendInTwoParts(socket, text);
        else
            socket.send(text + (id.find("twice") == std::string::npos ? "" : text));
        std::this_thread::sleep_for(readTime);
    }

    /// Refuses each request once, and runs it when it is sent again. On the connection of the
    /// refusal, that is repeated first. A request whose id ends with "full" is refused after its
    /// run.
    void serveOwnRepeats(const ScriptedRequest &request, const RawSocket &socket)
    {
        m_arrivals.countRun(request.id);
        const unsigned arrival = m_arrivals.runCount(request.id);
        const std::string text = refusalOf(request.id);
        if (request.id == "start" || (arrival > 2 && !request.id.ends_with("full"))) {
            run(request, socket);
            return;
        }
        if (arrival != 2) {
            socket.send(text);
            return;
        }
        m_site->runCounter().countRun(request.id);
        if (request.previousId == request.id)
            repeatOwnRefusal(request.id, socket);
        socket.send(answer(request.id));
    }

    /// Returns what went wrong with requests of `path` that are refused once, and whose refusal is
    /// repeated when they are sent again.
    std::string playOwnRepeats(const std::string &path, const std::string &status,
                               const std::string &end)
    {
        std::string faults;
        for (const std::string when : {"with", "after", "parts", "twice"}) {
            const std::string id = path + status + when + end;
            const CallResult result = call(path, id);
            const unsigned runs = m_site->runCounter().runCount(id);
            const bool isRefused = result.saysNotRun || result.status == 429 || result.status == 503
                    || result.status == 421;
            if ((isRefused && runs > 0) || (runs > 1 && path != "/look/"))
                faults += "\n" + id + ": " + std::to_string(runs) + " runs, answer "
                        + std::to_string(result.status) + " " + result.body;
        }
        return faults;
    }

    void startWithOwnRepeats()
    {
        addEndpoint("plain-1", [this](const ScriptedRequest &request, RawSocket &socket) {
            serveOwnRepeats(request, socket);
        });
        m_site->startDaemon("/look/1");
    }

    void addEndpoint(const std::string &instance, ScriptedEndpoint::Script script)
    {
        m_endpoints.push_back(std::make_unique<ScriptedEndpoint>(m_site->platform(), instance,
                                                                 "plain", std::move(script)));
    }

    CallResult call(const std::string &path, const std::string &id)
    {
        const unsigned port = m_site->daemons().front()->callerPort();
        const CallResult result = Caller().call(port, path, id, callTimeout);
        CPPUNIT_ASSERT_EQUAL(id, result.id);
        return result;
    }

public:
    void setUp() override
    {
        m_site = std::make_unique<TestSite>();
        m_site->publish(1);
    }
    void tearDown() override
    {
        m_endpoints.clear();
        m_site.reset();
    }

    void nextRequestGetsItsOwnAnswer()
    {
        addEndpoint("plain-1", [this](const ScriptedRequest &request, RawSocket &socket) {
            serve(request, socket);
        });
        m_site->startDaemon("/look/1");
        const std::vector<std::string> whens{"before", "after", "parts"};
        for (const std::string path : {"/book/", "/order/", "/look/"}) {
            for (const std::string status : {"429", "503"}) {
                for (const std::string &when : whens) {
                    const std::string name = path + status + when;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, call(path, "first-" + name).status);
                    std::this_thread::sleep_for(2 * readTime);
                    const CallResult next = call(path, "next-" + name);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name + ": " + next.body, 200, next.status);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, next.id, next.body);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1U, m_site->runCounter().runCount(next.id));
                }
            }
        }
        CPPUNIT_ASSERT(m_repeats > 0);
    }

    // The endpoint that answers 421 gets no further request, so its repeats meet none.
    void misdirectedUnsafeRequestRunsOnceElsewhere()
    {
        for (const char *instance : {"plain-1", "plain-2"}) {
            addEndpoint(instance, [this](const ScriptedRequest &request, RawSocket &socket) {
                if (!m_misdirects.exchange(false)) {
                    run(request, socket);
                    return;
                }
                socket.send(refusal("421 Other", request.id));
                std::this_thread::sleep_for(readTime);
                socket.send(refusal("421 Other", request.id));
            });
        }
        m_site->startDaemon("/book/1");
        m_misdirects = true;
        for (const char *id : {"first", "second", "third"}) {
            const CallResult result = call("/book/1", id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, 200, result.status);
            CPPUNIT_ASSERT_EQUAL(1U, m_site->runCounter().runCount(id));
            std::this_thread::sleep_for(2 * readTime);
        }
    }

    // The repeat has the id of the request, which is sent to the same endpoint again.
    void unsafeRequestRunsOnceThoughItsOwnRefusalIsRepeated()
    {
        startWithOwnRepeats();
        std::string faults;
        for (const char *path : {"/book/", "/order/"})
            faults += playOwnRepeats(path, "429", "") + playOwnRepeats(path, "503", "");
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    void requestThatRanIsNotCalledNotRunByItsOwnRepeatedRefusal()
    {
        startWithOwnRepeats();
        std::string faults;
        for (const char *path : {"/book/", "/order/", "/look/"})
            faults += playOwnRepeats(path, "503", "full");
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    // The time that the refusal names was over when "next" was sent, and "next" was not refused.
    void repeatDoesNotCloseTheEndpointToOtherRequests()
    {
        constexpr milliseconds closedTime{200};
        const std::string text = refusal("503 Full", "first", "Retry-After: 0.2\r\n");
        addEndpoint("plain-1", [this, text](const ScriptedRequest &request, RawSocket &socket) {
            if (request.id == "first") {
                socket.send(text);
            } else if (request.previousId == "first") {
                ++m_repeats;
                socket.send(text);
                socket.close();
            } else {
                run(request, socket);
            }
        });
        m_site->startDaemon("/look/1");
        CPPUNIT_ASSERT(call("/book/1", "first").saysNotRun);
        std::this_thread::sleep_for(closedTime + readTime);
        CPPUNIT_ASSERT_EQUAL(502, call("/book/1", "next").status);
        CPPUNIT_ASSERT_EQUAL(1U, m_repeats.load());
        const CallResult third = call("/book/1", "third");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(third.body, 200, third.status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalDaemonTest);
