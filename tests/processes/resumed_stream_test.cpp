#include "tests/support/scripted_endpoint.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view streamFields = "Content-Type: text/event-stream\r\n";
constexpr std::string_view chunkedField = "Transfer-Encoding: chunked\r\n\r\n";

enum class Ending {
    Open,
    Close,
    Reset
};

/// The answer of the endpoint at which a stream is resumed.
struct NextAnswer
{
    std::string name;
    std::string statusLine;
    std::string rest; ///< What follows the field with the request's id.
    Ending ending = Ending::Open;
    bool isFinal = false; ///< Whether the stream is not resumed once more.
};

std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

const std::vector<NextAnswer> nextAnswers{
        {"500", "500 Bad", "Content-Length: 3\r\n\r\nbad"},
        {"500 without length", "500 Bad", "\r\nbad", Ending::Close},
        {"503", "503 Full", "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
        {"503 that may have run", "503 Full", "Content-Length: 0\r\n\r\n"},
        {"404", "404 None", "Content-Length: 4\r\n\r\nnone", Ending::Open, true},
        {"another answer", "200 OK", "Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nno",
         Ending::Open, true},
        {"another answer without length", "200 OK", "Content-Type: text/plain\r\n\r\nno",
         Ending::Close, true},
        {"reset stream without length", "200 OK", std::string(streamFields) + "\r\n",
         Ending::Reset},
        {"stream without length that ends inside an event", "200 OK",
         std::string(streamFields) + "\r\nid: 3\nda", Ending::Close},
        {"stream without chunks", "200 OK", std::string(streamFields) + std::string(chunkedField),
         Ending::Close},
        // The endpoint is not used any more after this answer.
        {"421", "421 Other", "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"}};

std::size_t count(const std::string &text, std::string_view part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

/// Checks what callers of a real daemon get if their stream breaks off after its second event and
/// the next endpoint does not simply go on with it.
class ResumedAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumedAnswerTest);
    CPPUNIT_TEST(streamGoesOnAfterAnotherAnswer);
    CPPUNIT_TEST(streamThatIsNotContinuedStaysIncomplete);
    CPPUNIT_TEST(streamWithoutEventsOrLengthIsNoEnd);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestSite> m_site;
    std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;

    /// The id of a request begins with the number of the answer of its second run, or is "start".
    void serve(const ScriptedRequest &request, RawSocket &socket)
    {
        const std::string idField = "\r\nX-Attempt-Id: " + request.id + "\r\n";
        const std::string head =
                "HTTP/1.1 200 OK" + idField + std::string(streamFields) + std::string(chunkedField);
        m_site->runCounter().countRun(request.id);
        const unsigned run = m_site->runCounter().runCount(request.id);
        if (request.id.starts_with("start")) {
            socket.send(head + chunk(event(1)) + "0\r\n\r\n");
        } else if (run == 1) {
            socket.send(head + chunk(event(1)) + chunk(event(2)));
            std::this_thread::sleep_for(milliseconds(10));
            socket.reset();
        } else if (run > 2 && request.id.ends_with("continued")) {
            socket.send(head + chunk(event(3)) + "0\r\n\r\n");
        } else if (request.id == "empty") {
            socket.send("HTTP/1.1 200 OK" + idField + std::string(streamFields) + "\r\n");
            socket.close();
        } else {
            const NextAnswer &next = nextAnswers.at(std::stoul(request.id));
            socket.send("HTTP/1.1 " + next.statusLine + idField + next.rest);
            if (next.ending == Ending::Reset) {
                std::this_thread::sleep_for(milliseconds(10));
                socket.reset();
            } else if (next.ending == Ending::Close) {
                socket.close();
            }
        }
    }

    /// Returns the bytes that a caller gets, up to the end of its stream or connection.
    std::string call(const std::string &id)
    {
        const RawSocket client = RawSocket::connectTo(m_site->daemons().front()->callerPort());
        client.send("POST /review/1 HTTP/1.1\r\nHost: club.example\r\nAuthorization: Token key\r\n"
                    "X-Attempt-Id: "
                    + id + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
        return client.receiveUntil("\r\n0\r\n\r\n");
    }

public:
    void setUp() override
    {
        m_site = std::make_unique<TestSite>();
        m_site->publish(1);
        for (const char *instance : {"model-1", "model-2", "model-3"}) {
            m_endpoints.push_back(std::make_unique<ScriptedEndpoint>(
                    m_site->platform(), instance, "model",
                    [this](const ScriptedRequest &request, RawSocket &socket) {
                        serve(request, socket);
                    }));
        }
        m_site->startDaemon("/review/start");
    }

    void tearDown() override
    {
        m_endpoints.clear();
        m_site.reset();
    }

    void streamGoesOnAfterAnotherAnswer()
    {
        for (std::size_t number = 0; number < nextAnswers.size(); ++number) {
            const NextAnswer &answer = nextAnswers.at(number);
            if (answer.isFinal)
                continue;
            const std::string bytes = call(std::to_string(number) + "-continued");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name + "\n" + bytes, std::size_t{1},
                                         count(bytes, "HTTP/1.1 "));
            const std::string body = bytes.substr(bytes.find("\r\n\r\n") + 4);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    answer.name, chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n",
                    body);
        }
    }

    void streamThatIsNotContinuedStaysIncomplete()
    {
        for (std::size_t number = 0; number < nextAnswers.size(); ++number) {
            const NextAnswer &answer = nextAnswers.at(number);
            const std::string bytes = call(std::to_string(number) + "-ended");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name + "\n" + bytes, std::size_t{1},
                                         count(bytes, "HTTP/1.1 "));
            const std::string body = bytes.substr(bytes.find("\r\n\r\n") + 4);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, chunk(event(1)) + chunk(event(2)), body);
        }
    }

    // The endpoint ended before it sent anything; the caller must not take that for the end.
    void streamWithoutEventsOrLengthIsNoEnd()
    {
        const std::string bytes = call("empty");
        const std::string body = bytes.substr(bytes.find("\r\n\r\n") + 4);
        CPPUNIT_ASSERT_EQUAL(chunk(event(1)) + chunk(event(2)), body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedAnswerTest);
