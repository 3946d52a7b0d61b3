#include "tests/drivers/traffic_relay_fixture.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string okAnswer = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";

} // namespace

/// Guards what bytes callers and endpoints get for whole answers.
class TrafficRelayTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(TrafficRelayTest);
    CPPUNIT_TEST(answerIsPassedOnWhole);
    CPPUNIT_TEST(connectionIsUsedAgain);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(malformedRequestIsRefused);
    CPPUNIT_TEST(answerToAnotherRequestIsSkipped);
    CPPUNIT_TEST(surplusBytesEndTheConnection);
    CPPUNIT_TEST(truncatedAnswerIsInterrupted);
    CPPUNIT_TEST(answerWithoutLengthIsWholeAtItsEnd);
    CPPUNIT_TEST(answerWithoutLengthThatIsResetIsInterrupted);
    CPPUNIT_TEST(declinedIsToldApart);
    CPPUNIT_TEST(refusedConnectionWasNotSent);
    CPPUNIT_TEST(cancelClosesTheEndpointsConnection);
    CPPUNIT_TEST(callerThatLeavesIsReported);
    CPPUNIT_TEST(earlyAnswerToALongBodyEndsTheConnection);
    CPPUNIT_TEST(staleConnectionIsNotUsed);
    CPPUNIT_TEST(stoppingClosesConnectionsAfterTheirAnswers);
    CPPUNIT_TEST(slowHeaderIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerIsPassedOnWhole()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        deliver(play(endpoint,
                     "HTTP/1.1 200 Fine\r\nId: r\r\nX: 1\r\nx: 2\r\nConnection: close, x-hop\r\n"
                     "X-Hop: 1\r\nContent-Length: 2\r\n\r\nok"));
        const std::string answer = client.receiveUntil("ok");
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200 Fine\r\nId: r\r\nX: 1\r\nx: 2\r\n"));
        CPPUNIT_ASSERT(answer.find("X-Hop") == std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("Content-Length: 2\r\n\r\nok"));
    }

    void connectionIsUsedAgain()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        deliver(play(endpoint, okAnswer));
        client.receiveUntil("ok");
        client.send("GET /b HTTP/1.1\r\nId: r\r\n\r\n");
        const AttemptEnd end = play(endpoint, okAnswer);
        CPPUNIT_ASSERT(end.connectionReused);
        deliver(end);
        CPPUNIT_ASSERT(!client.receiveUntil("ok").empty());
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        const RawSocket client =
                caller("GET /1 HTTP/1.1\r\nId: r\r\n\r\nGET /2 HTTP/1.1\r\nId: r\r\n\r\n");
        RawSocket endpoint;
        deliver(play(endpoint, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\n1."));
        deliver(play(endpoint, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\n2."));
        const std::string answers = client.receiveUntil("2.");
        CPPUNIT_ASSERT(answers.find("1.") < answers.find("2."));
    }

    void malformedRequestIsRefused()
    {
        CPPUNIT_ASSERT(caller("GET /malformed HTTP/1.1\r\n\r\n")
                               .receiveUntil("}")
                               .starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(
                caller("nonsense\r\n\r\n").receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 400"));
    }

    void answerToAnotherRequestIsSkipped()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        deliver(play(endpoint,
                     "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + okAnswer));
        const std::string answer = client.receiveUntil("ok");
        CPPUNIT_ASSERT(answer.find("bad") == std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("ok"));
    }

    void surplusBytesEndTheConnection()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        deliver(play(endpoint, okAnswer + okAnswer));
        client.receiveUntil("ok");
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(2)));
    }

    void truncatedAnswerIsInterrupted()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        start(request);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 20\r\n\r\nok");
        endpoint.close();
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Interrupted);
    }

    void answerWithoutLengthIsWholeAtItsEnd()
    {
        const RawSocket client = caller();
        start(m_reports.arrival().number);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\n\r\nok");
        endpoint.close();
        const AttemptEnd end = m_reports.end();
        CPPUNIT_ASSERT(end.result == AttemptResult::Answered);
        deliver(end);
        CPPUNIT_ASSERT(client.receiveUntil("ok").find("Content-Length: 2") != std::string::npos);
    }

    void answerWithoutLengthThatIsResetIsInterrupted()
    {
        const RawSocket client = caller();
        start(m_reports.arrival().number);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 200 OK\r\nId: r\r\n\r\nok");
        std::this_thread::sleep_for(milliseconds(50));
        endpoint.reset();
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Interrupted);
    }

    void declinedIsToldApart()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        CPPUNIT_ASSERT(play(endpoint,
                            "HTTP/1.1 503 Full\r\nId: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                               .result
                       == AttemptResult::Declined);
        start(1);
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Misdirected);
    }

    void refusedConnectionWasNotSent()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
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
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::NotSent);
    }

    void cancelClosesTheEndpointsConnection()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        const AttemptNumber attempt = start(request);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
 m_thread->runAndWait([&] { m_traffic->cancelAttempt(request, attempt); });
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void callerThatLeavesIsReported()
    {
        RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        client.close();
        CPPUNIT_ASSERT_EQUAL(request, m_reports.gone());
    }

    void earlyAnswerToALongBodyEndsTheConnection()
    {
        // More than the kernel takes at once.
        const std::string body(40'000'000, 'x');
        m_thread->runAndWait([this, &body] {
            ConnectionLimits limits;
            limits.maxBodyBytes = body.size();
            m_traffic->applyLimits(limits);
        });
        const RawSocket client = caller("POST /a HTTP/1.1\r\nId: r\r\nContent-Length: "
                                        + std::to_string(body.size()) + "\r\n\r\n" + body);
        start(m_reports.arrival().number);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 413 Large\r\nId: r\r\nContent-Length: 0\r\n\r\n");
        const AttemptEnd end = m_reports.end();
        CPPUNIT_ASSERT(end.result == AttemptResult::Answered);
        deliver(end);
        client.receiveUntil("\r\n\r\n");
        endpoint.receiveUntil({}, seconds(2));
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void staleConnectionIsNotUsed()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        deliver(play(endpoint, okAnswer));
        client.receiveUntil("ok");
        endpoint.close();
        std::this_thread::sleep_for(milliseconds(50));
        client.send("GET /b HTTP/1.1\r\nId: r\r\n\r\n");
        const AttemptEnd end = play(endpoint, okAnswer);
        CPPUNIT_ASSERT(end.result == AttemptResult::Answered && !end.connectionReused);
    }

    void stoppingClosesConnectionsAfterTheirAnswers()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        const AttemptEnd end = play(endpoint, okAnswer);
        m_thread->runAndWait([this] { m_traffic->beginStop(); });
        deliver(end);
        CPPUNIT_ASSERT(client.receiveUntil("ok").find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(client.isClosedWithin(seconds(1)));
    }

    void slowHeaderIsRefused()
    {
        m_thread->runAndWait([this] {
            ConnectionLimits limits;
            limits.headerTimeout = milliseconds(300);
            m_traffic->applyLimits(limits);
        });
        const RawSocket client = caller("GET /a HT");
        CPPUNIT_ASSERT(client.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 408"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficRelayTest);
