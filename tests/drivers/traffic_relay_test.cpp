#include "tests/drivers/traffic_relay_fixture.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string okResponse = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";

} // namespace

/// Checks the bytes that callers and endpoints receive for buffered responses.
class TrafficRelayTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(TrafficRelayTest);
    CPPUNIT_TEST(wholeResponseIsForwarded);
    CPPUNIT_TEST(endpointConnectionIsReused);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(malformedRequestIsRejected);
    CPPUNIT_TEST(responseToAnotherRequestIsSkipped);
    CPPUNIT_TEST(surplusBytesCloseTheConnection);
    CPPUNIT_TEST(truncatedResponseIsInterrupted);
    CPPUNIT_TEST(responseWithoutLengthEndsAtConnectionClose);
    CPPUNIT_TEST(responseWithoutLengthIsInterruptedByReset);
    CPPUNIT_TEST(declinedAndMisdirectedResponsesAreDistinguished);
    CPPUNIT_TEST(requestLimitIsReportedUntilItIsNoLongerNamed);
    CPPUNIT_TEST(refusedConnectionIsReportedAsNotSent);
    CPPUNIT_TEST(cancelClosesTheEndpointConnection);
    CPPUNIT_TEST(refusalOfHeadHasNoBody);
    CPPUNIT_TEST(callerDisconnectIsReported);
    CPPUNIT_TEST(earlyResponseToALargeBodyClosesTheConnection);
    CPPUNIT_TEST(staleConnectionIsNotReused);
    CPPUNIT_TEST(stopClosesConnectionsAfterTheirResponses);
    CPPUNIT_TEST(slowHeaderIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeResponseIsForwarded()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        deliver(runAttempt(
                endpoint,
                "HTTP/1.1 200 Fine\r\nId: r\r\nX: 1\r\nx: 2\r\nConnection: close, x-hop\r\n"
                "X-Hop: 1\r\nContent-Length: 2\r\n\r\nok"));
        const std::string response = client.receiveUntil("ok");
        CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200 Fine\r\nId: r\r\nX: 1\r\nx: 2\r\n"));
        CPPUNIT_ASSERT(response.find("X-Hop") == std::string::npos);
        CPPUNIT_ASSERT(response.ends_with("Content-Length: 2\r\n\r\nok"));
    }

    void endpointConnectionIsReused()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        deliver(runAttempt(endpoint, okResponse));
        client.receiveUntil("ok");
        client.send("GET /b HTTP/1.1\r\nId: r\r\n\r\n");
        const AttemptEnd end = runAttempt(endpoint, okResponse);
        CPPUNIT_ASSERT(end.connectionReused);
        deliver(end);
        CPPUNIT_ASSERT(!client.receiveUntil("ok").empty());
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        const RawSocket client =
                connectCaller("GET /1 HTTP/1.1\r\nId: r\r\n\r\nGET /2 HTTP/1.1\r\nId: r\r\n\r\n");
        RawSocket endpoint;
        deliver(runAttempt(endpoint, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\n1."));
        deliver(runAttempt(endpoint, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\n2."));
        const std::string responses = client.receiveUntil("2.");
        CPPUNIT_ASSERT(responses.find("1.") < responses.find("2."));
    }

    void malformedRequestIsRejected()
    {
        CPPUNIT_ASSERT(connectCaller("GET /malformed HTTP/1.1\r\n\r\n")
                               .receiveUntil("}")
                               .starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(connectCaller("nonsense\r\n\r\n")
                               .receiveUntil("\r\n\r\n")
                               .starts_with("HTTP/1.1 400"));
    }

    void responseToAnotherRequestIsSkipped()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        deliver(runAttempt(endpoint,
                           "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
                                   + okResponse));
        const std::string response = client.receiveUntil("ok");
        CPPUNIT_ASSERT(response.find("bad") == std::string::npos);
        CPPUNIT_ASSERT(response.ends_with("ok"));
    }

    void surplusBytesCloseTheConnection()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        deliver(runAttempt(endpoint, okResponse + okResponse));
        client.receiveUntil("ok");
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(2)));
    }

    void truncatedResponseIsInterrupted()
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        startAttempt(request);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 20\r\n\r\nok");
        endpoint.close();
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::Interrupted);
    }

    void responseWithoutLengthEndsAtConnectionClose()
    {
        const RawSocket client = connectCaller();
        startAttempt(m_listener.nextArrival().number);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\n\r\nok");
        endpoint.close();
        const AttemptEnd end = m_listener.nextAttemptEnd();
        CPPUNIT_ASSERT(end.result == AttemptResult::Answered);
        deliver(end);
        CPPUNIT_ASSERT(client.receiveUntil("ok").find("Content-Length: 2") != std::string::npos);
    }

    void responseWithoutLengthIsInterruptedByReset()
    {
        const RawSocket client = connectCaller();
        startAttempt(m_listener.nextArrival().number);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\n\r\nok");
        std::this_thread::sleep_for(milliseconds(50));
        endpoint.reset();
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::Interrupted);
    }

    void declinedAndMisdirectedResponsesAreDistinguished()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        CPPUNIT_ASSERT(
                runAttempt(endpoint,
                           "HTTP/1.1 503 Full\r\nId: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                        .result
                == AttemptResult::Declined);
        startAttempt(1);
        endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::Misdirected);
    }

    void requestLimitIsReportedUntilItIsNoLongerNamed()
    {
        RawSocket endpoint;
        const auto answerWith = [&](const std::string &field) {
            const RawSocket client = connectCaller();
            const AttemptEnd end = runAttempt(
                    endpoint, "HTTP/1.1 200 OK\r\nId: r\r\n" + field + "Content-Length: 0\r\n\r\n");
            deliver(end);
        };
        answerWith("Two-Per-Second: yes\r\n");
        CPPUNIT_ASSERT(m_listener.nextLimitReport().requestsPerSecond == 2.0);
        answerWith("Bad-Limit: yes\r\n");
        CPPUNIT_ASSERT(m_listener.nextLimitReport().isInvalid);
        answerWith("");
        const EndpointLimitReport last = m_listener.nextLimitReport();
        CPPUNIT_ASSERT(!last.requestsPerSecond && !last.isInvalid);
        CPPUNIT_ASSERT_EQUAL(std::string("e"), last.endpoint.value());
    }

    void refusedConnectionIsReportedAsNotSent()
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        unsigned freePort = 0;
        {
            const RawListener closed;
            freePort = closed.port();
        }
        m_thread->runAndWait([&] {
            const Instant now = m_thread->loop().now();
            m_traffic->startAttempt({.request = request,
                                     .attempt = 1,
                                     .endpoint = EndpointId("closed"),
                                     .address = "127.0.0.1:" + std::to_string(freePort),
                                     .connectDeadline = now + seconds(2),
                                     .deadline = now + seconds(5)});
        });
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::NotSent);
    }

    // Callers read the body as the next answer on the connection.
    void refusalOfHeadHasNoBody()
    {
        for (const ErrorKind kind :
             {ErrorKind::NotFound, ErrorKind::Unauthenticated, ErrorKind::ShareExceeded,
              ErrorKind::NotReady, ErrorKind::AnswerInterrupted, ErrorKind::DeadlineExceeded}) {
            const RawSocket client = connectCaller("HEAD /a HTTP/1.1\r\nId: r\r\n\r\n"
                                                   "GET /a HTTP/1.1\r\nId: s\r\n\r\n");
            refuse(m_listener.nextArrival().number, kind);
            refuse(m_listener.nextArrival().number, kind);
            std::string answers = client.receiveUntil("}");
            const std::size_t headEnd = answers.find("\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(answers, answers.find("Content-Length: ") < headEnd);
            CPPUNIT_ASSERT_MESSAGE(answers, answers.substr(headEnd + 4).starts_with("HTTP/1.1 "));
        }
    }

    void cancelClosesTheEndpointConnection()
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        const AttemptNumber attempt = startAttempt(request);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        m_thread->runAndWait([&] { m_traffic->cancelAttempt(request, attempt); });
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void callerDisconnectIsReported()
    {
        RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        client.close();
        CPPUNIT_ASSERT_EQUAL(request, m_listener.nextCallerDisconnect());
    }

    void earlyResponseToALargeBodyClosesTheConnection()
    {
        // More than the socket buffers hold.
        const std::string body(40'000'000, 'x');
        m_thread->runAndWait([this, &body] {
            ConnectionLimits limits;
            limits.maxBodyBytes = body.size();
            m_traffic->applyLimits(limits);
        });
        const RawSocket client = connectCaller("POST /a HTTP/1.1\r\nId: r\r\nContent-Length: "
                                               + std::to_string(body.size()) + "\r\n\r\n" + body);
        startAttempt(m_listener.nextArrival().number);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 413 Large\r\nId: r\r\nContent-Length: 0\r\n\r\n");
        const AttemptEnd end = m_listener.nextAttemptEnd();
        CPPUNIT_ASSERT(end.result == AttemptResult::Answered);
        deliver(end);
        client.receiveUntil("\r\n\r\n");
        endpoint.receiveUntil({}, seconds(2));
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void staleConnectionIsNotReused()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        deliver(runAttempt(endpoint, okResponse));
        client.receiveUntil("ok");
        endpoint.close();
        std::this_thread::sleep_for(milliseconds(50));
        client.send("GET /b HTTP/1.1\r\nId: r\r\n\r\n");
        const AttemptEnd end = runAttempt(endpoint, okResponse);
        CPPUNIT_ASSERT(end.result == AttemptResult::Answered && !end.connectionReused);
    }

    void stopClosesConnectionsAfterTheirResponses()
    {
        const RawSocket client = connectCaller();
        RawSocket endpoint;
        const AttemptEnd end = runAttempt(endpoint, okResponse);
        m_thread->runAndWait([this] { m_traffic->beginStop(); });
        deliver(end);
        CPPUNIT_ASSERT(client.receiveUntil("ok").find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(client.isClosedWithin(seconds(1)));
    }

    void slowHeaderIsRejected()
    {
        m_thread->runAndWait([this] {
            ConnectionLimits limits;
            limits.headerTimeout = milliseconds(300);
            m_traffic->applyLimits(limits);
        });
        const RawSocket client = connectCaller("GET /a HT");
        CPPUNIT_ASSERT(client.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 408"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficRelayTest);
