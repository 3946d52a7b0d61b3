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
const std::string streamHead = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &bytes)
{
    std::string output;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return output.append(size).append(bytes).append("\r\n");
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

/// Guards what callers get of streams, and that answers do not mix.
class TrafficRelayStreamTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(TrafficRelayStreamTest);
    CPPUNIT_TEST(wholeEventsArePassedOnAsTheyCome);
    CPPUNIT_TEST(streamTornInAnEventIsInterrupted);
    CPPUNIT_TEST(resumedStreamGoesOnWithoutRepeats);
    CPPUNIT_TEST(failureIsNotWrittenIntoAStream);
    CPPUNIT_TEST(brokenOffStreamLooksIncomplete);
    CPPUNIT_TEST(movedRunIsReported);
    CPPUNIT_TEST(reconnectingCallersNeverGetForeignBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeEventsArePassedOnAsTheyCome()
    {
        const RawSocket client = caller();
        start(m_reports.arrival().number, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(streamHead + chunk(event(1) + "id: 2\nda"));
        const std::string first = client.receiveUntil("\n\n\r\n");
        CPPUNIT_ASSERT(first.find("id: 1") != std::string::npos);
        CPPUNIT_ASSERT(first.find("id: 2") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(EventId{1}, m_reports.progress().lastEvent);
        endpoint.send(chunk("ta: y\n\n") + "0\r\n\r\n");
        const std::string rest = client.receiveUntil("0\r\n\r\n");
        CPPUNIT_ASSERT(rest.find("id: 2\ndata: y\n\n") != std::string::npos);
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Streamed);
    }

    void streamTornInAnEventIsInterrupted()
    {
        const RawSocket client = caller();
        start(m_reports.arrival().number, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(streamHead + chunk(event(1) + "id: 2\nda") + "0\r\n\r\n");
        const AttemptEnd end = m_reports.end();
        CPPUNIT_ASSERT(end.result == AttemptResult::Interrupted);
        CPPUNIT_ASSERT_EQUAL(EventId{1}, *end.lastEvent);
        CPPUNIT_ASSERT(client.receiveUntil("0\r\n\r\n", milliseconds(200)).find("0\r\n\r\n")
                       == std::string::npos);
    }

    void resumedStreamGoesOnWithoutRepeats()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        start(request, true);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(streamHead + chunk(event(1) + event(2)));
        CPPUNIT_ASSERT(!client.receiveUntil("id: 2").empty());
        endpoint.reset();
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Interrupted);
        start(request, true, 2);
        endpoint = m_endpoint.accept();
        CPPUNIT_ASSERT(endpoint.receiveUntil("\r\n\r\n").find("Resume: 2") != std::string::npos);
        endpoint.send(streamHead + chunk(event(2) + event(3)) + "0\r\n\r\n");
        const std::string rest = client.receiveUntil("0\r\n\r\n");
        CPPUNIT_ASSERT(rest.find("id: 2") == std::string::npos);
        CPPUNIT_ASSERT(rest.find("id: 3") != std::string::npos);
        CPPUNIT_ASSERT(rest.find("HTTP/1.1") == std::string::npos);
    }

    void failureIsNotWrittenIntoAStream()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        start(request, true);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(streamHead + chunk(event(1)));
        client.receiveUntil("\n\n\r\n");
        endpoint.reset();
        m_reports.end();
        start(request, true, 1);
        endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send("HTTP/1.1 500 Bad\r\nId: r\r\nContent-Length: 0\r\n\r\n");
        deliver(m_reports.end());
        CPPUNIT_ASSERT_EQUAL(std::string(), client.receiveUntil("never"));
    }

    void brokenOffStreamLooksIncomplete()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        start(request, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(streamHead + chunk(event(1)));
        client.receiveUntil("\n\n\r\n");
        m_thread->runAndWait([&] {
            m_traffic->refuse({.request = request, .kind = ErrorKind::AnswerInterrupted});
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), client.receiveUntil("never"));
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void movedRunIsReported()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        const AttemptNumber attempt = start(request, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
 m_thread->runAndWait([&] { m_traffic->moveRun({.request = request, .attempt = attempt, .source = EndpointId("e"), .sourceAddress = m_endpoint.address(), .targetAddress = "10.0.0.9:80", .deadline = m_thread->loop().now() + seconds(2)});
        });
        const RawSocket call = m_endpoint.accept();
        CPPUNIT_ASSERT(call.receiveUntil("\r\n\r\n").find("Target: 10.0.0.9:80")
                       != std::string::npos);
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
        const RunMoveEnd end = m_reports.moveEnd();
        CPPUNIT_ASSERT(end.result == RunMoveResult::Moved);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), end.handle);
    }

    void reconnectingCallersNeverGetForeignBytes()
    {
        constexpr int rounds = 300;
        std::jthread endpoint([this] {
            while (true) {
                const RawSocket socket = m_endpoint.accept(milliseconds(1500));
                if (!socket.isOpen())
                    return;
                const std::string request = socket.receiveUntil("\r\n\r\n");
                const std::size_t begin = request.find("Id: ") + 4;
                const std::string id = request.substr(begin, request.find("\r\n", begin) - begin);
                socket.send("HTTP/1.1 200 OK\r\nId: " + id + "\r\nConnection: close\r\n"
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + chunk("id: 1\ndata: " + id + "\n\n"));
            }
        });
        for (int round = 0; round < rounds; ++round) {
            const std::string id = "c" + std::to_string(round);
            const RawSocket client = caller("GET /a HTTP/1.1\r\nId: " + id + "\r\n\r\n");
            start(m_reports.arrival().number, true);
            // Every other caller leaves without having read.
            if (round % 2 == 0)
                continue;
            const std::string answer = client.receiveUntil("data: ");
            CPPUNIT_ASSERT(answer.find("Id: " + id) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficRelayStreamTest);
