#include "tests/drivers/traffic_relay_fixture.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Long enough for the relay to read what was sent before.
constexpr milliseconds readTime{5};
constexpr std::uint32_t maxHeaderBytes = 16U * 1024;

/// Heads of a success that end before their last line end.
const std::vector<std::string> brokenHeads{
        "HTTP/1.1",
        "HTTP/1.1 200",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length:",
        "HTTP/1.1 200 OK\r\nId: r\r\n",
        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r",
        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n",
        "HTTP/1.1 503 Full\r\nId: r\r\nNot-Run: 1\r\n",
        "HTTP/1.1 421 Other\r\nId: r\r\nContent-Length: 0\r\n\r"};
/// Complete responses after which the answer to the request is still due.
const std::vector<std::string> earlierResponses{
        "", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 503 Full\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};

} // namespace

/// Checks that a response whose head breaks off is no answer, however the connection ends.
class BrokenHeadTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(BrokenHeadTest);
    CPPUNIT_TEST(noPrefixOfAHeadIsAResponse);
    CPPUNIT_TEST(closeInAHeadInterruptsTheRequest);
    CPPUNIT_TEST(resetInAHeadInterruptsTheRequest);
    CPPUNIT_TEST(headThatBreaksOffOnAKeptConnectionIsNotSentAgain);
    CPPUNIT_TEST(headThatBreaksOffDoesNotEndAStream);
    CPPUNIT_TEST(runIsNotMovedByABrokenHead);
    CPPUNIT_TEST_SUITE_END();

    static void end(RawSocket &endpoint, bool isReset)
    {
        if (!isReset) {
            endpoint.close();
            return;
        }
        std::this_thread::sleep_for(readTime);
        endpoint.reset();
    }

    void expectInterrupted(const std::string &bytes, const std::string &method, bool isStream,
                           bool isReset)
    {
        const RawSocket client = connectCaller(method + " /a HTTP/1.1\r\nId: r\r\n\r\n");
        startAttempt(m_listener.nextArrival().number, isStream);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(bytes);
        end(endpoint, isReset);
        const AttemptEnd end = m_listener.nextAttemptEnd();
        expectResult(AttemptResult::Interrupted, end, bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 0, end.status);
        CPPUNIT_ASSERT_MESSAGE(bytes, end.wasDisconnected);
        refuse(end.request, ErrorKind::EndpointFailed);
        const bool isHead = method == "HEAD";
        const std::string answer = client.receiveUntil(isHead ? "\r\n\r\n" : "}");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 "));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, isHead, answer.ends_with("\r\n\r\n"));
    }

    void expectAllInterrupted(bool isReset)
    {
        for (const std::string &earlier : earlierResponses) {
            for (const std::string &head : brokenHeads) {
                expectInterrupted(earlier + head, "POST", false, isReset);
                expectInterrupted(earlier + head, "POST", true, isReset);
                expectInterrupted(earlier + head, "HEAD", false, isReset);
            }
        }
    }

public:
    void noPrefixOfAHeadIsAResponse()
    {
        for (const std::string head :
             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 None\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"}) {
            for (std::size_t length = 0; length < head.size(); ++length) {
                HttpResponseReader reader(maxHeaderBytes, 0);
                std::error_code error;
                reader.read(head.substr(0, length), error);
                CPPUNIT_ASSERT_MESSAGE(head.substr(0, length), !error);
                reader.readEndOfStream(error);
                CPPUNIT_ASSERT_MESSAGE(head.substr(0, length), error);
                CPPUNIT_ASSERT(!reader.isHeadComplete() && !reader.isComplete());
            }
        }
    }

    void closeInAHeadInterruptsTheRequest() { expectAllInterrupted(false); }
    void resetInAHeadInterruptsTheRequest() { expectAllInterrupted(true); }

    // Some clients send a request again by themselves if a kept connection ends.
    void headThatBreaksOffOnAKeptConnectionIsNotSentAgain()
    {
        for (const std::string &head : brokenHeads) {
            for (const bool isReset : {false, true}) {
                const RawSocket client = connectCaller();
                RawSocket endpoint;
                deliver(runAttempt(endpoint,
                                   "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok"));
                client.receiveUntil("ok");
                client.send("POST /b HTTP/1.1\r\nId: r\r\n\r\n");
                startAttempt(m_listener.nextArrival().number);
                endpoint.receiveUntil("\r\n\r\n");
                endpoint.send(head);
                end(endpoint, isReset);
                const AttemptEnd end = m_listener.nextAttemptEnd();
                CPPUNIT_ASSERT(end.connectionReused);
                expectResult(AttemptResult::Interrupted, end, head);
                CPPUNIT_ASSERT_MESSAGE(head, !m_endpoint.accept(milliseconds(1)).isOpen());
                refuse(end.request, ErrorKind::EndpointFailed);
                client.receiveUntil("}");
            }
        }
    }

    void headThatBreaksOffDoesNotEndAStream()
    {
        for (const std::string &head : brokenHeads) {
            const RawSocket client = connectCaller();
            const RequestNumber request = m_listener.nextArrival().number;
            startAttempt(request, true);
            RawSocket endpoint = m_endpoint.accept();
            endpoint.receiveUntil("\r\n\r\n");
            endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
            client.receiveUntil("\n\n\r\n");
            endpoint.close();
            expectResult(AttemptResult::Interrupted, m_listener.nextAttemptEnd(), head);
            startAttempt(request, true, 1);
            endpoint = m_endpoint.accept();
            endpoint.receiveUntil("\r\n\r\n");
            endpoint.send(head);
            endpoint.close();
            expectResult(AttemptResult::Interrupted, m_listener.nextAttemptEnd(), head);
            refuse(request, ErrorKind::AnswerInterrupted);
            CPPUNIT_ASSERT_EQUAL(std::string(), client.receiveUntil("never"));
        }
    }

    void runIsNotMovedByABrokenHead()
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        const AttemptNumber attempt = startAttempt(request, true);
        const RawSocket run = m_endpoint.accept();
        for (const std::string &head : brokenHeads) {
            m_thread->runAndWait([&] {
                m_traffic->moveRun({.request = request,
                                    .attempt = attempt,
                                    .source = EndpointId("e"),
                                    .sourceAddress = m_endpoint.address(),
                                    .targetAddress = "127.0.0.1:1",
                                    .deadline = m_thread->loop().now() + seconds(2)});
            });
            RawSocket call = m_endpoint.accept();
            call.receiveUntil("\r\n\r\n");
            call.send(head);
            call.close();
            CPPUNIT_ASSERT_MESSAGE(head, m_listener.nextMoveEnd().result == RunMoveResult::Failed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenHeadTest);
