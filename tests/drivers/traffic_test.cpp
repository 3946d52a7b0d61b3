#include "drivers/traffic/traffic.h"
#include "tests/drivers/plain_codec.h"
#include "tests/support/loop_thread.h"
#include "tests/support/raw_socket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Collects what the traffic reports, for a test that waits for it.
class Reports : public TrafficListener
{
public:
    void arrived(const RequestArrival &request) override { add(m_arrivals, request); }
    void callerGone(RequestNumber request) override { add(m_gone, request); }
    void progressed(std::span<const StreamProgress> streams) override
    {
        for (const StreamProgress &stream : streams)
            add(m_progress, stream);
    }
    void ended(const AttemptEnd &end) override { add(m_ends, end); }
    void moved(const RunMoveEnd &end) override { add(m_moves, end); }

    RequestArrival arrival() { return take(m_arrivals); }
    RequestNumber gone() { return take(m_gone); }
    AttemptEnd end() { return take(m_ends); }
    RunMoveEnd moveEnd() { return take(m_moves); }
    StreamProgress progress() { return take(m_progress); }

private:
    template <typename Item>
    void add(std::deque<Item> &items, const Item &item)
    {
        const std::lock_guard lock(m_mutex);
        items.push_back(item);
        m_changed.notify_all();
    }

    template <typename Item>
    Item take(std::deque<Item> &items)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, seconds(5), [&items] { return !items.empty(); }))
            CPPUNIT_FAIL("nothing was reported");
        const Item item = items.front();
        items.pop_front();
        return item;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<RequestArrival> m_arrivals;
    std::deque<RequestNumber> m_gone;
    std::deque<StreamProgress> m_progress;
    std::deque<AttemptEnd> m_ends;
    std::deque<RunMoveEnd> m_moves;
};

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

/// Plays callers and endpoints on loopback, and guards what bytes each of them gets.
class TrafficTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TrafficTest);
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
    CPPUNIT_TEST(wholeEventsArePassedOnAsTheyCome);
    CPPUNIT_TEST(streamTornInAnEventIsInterrupted);
    CPPUNIT_TEST(resumedStreamGoesOnWithoutRepeats);
    CPPUNIT_TEST(failureIsNotWrittenIntoAStream);
    CPPUNIT_TEST(brokenOffStreamLooksIncomplete);
    CPPUNIT_TEST(cancelClosesTheEndpointsConnection);
    CPPUNIT_TEST(callerThatLeavesIsReported);
    CPPUNIT_TEST(earlyAnswerToALongBodyEndsTheConnection);
    CPPUNIT_TEST(staleConnectionIsNotUsed);
    CPPUNIT_TEST(movedRunIsReported);
    CPPUNIT_TEST(stoppingClosesConnectionsAfterTheirAnswers);
    CPPUNIT_TEST(slowHeaderIsRefused);
    CPPUNIT_TEST(reconnectingCallersNeverGetForeignBytes);
    CPPUNIT_TEST_SUITE_END();

    PlainCodec m_codec;
    Reports m_reports;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<Traffic> m_traffic;
    RawListener m_endpoint;
    AttemptNumber m_lastAttempt = 0;

    RawSocket caller(const std::string &request = "GET /a HTTP/1.1\r\nId: r\r\n\r\n")
    {
        RawSocket socket = RawSocket::connectTo(m_traffic->port());
        socket.send(request);
        return socket;
    }

    AttemptNumber start(RequestNumber request, bool isStream = false,
                        std::optional<EventId> resumeAfter = std::nullopt)
    {
        const AttemptNumber attempt = ++m_lastAttempt;
        m_thread->run([&] {
            const Instant now = m_thread->loop().now();
            m_traffic->start({.request = request,
                              .attempt = attempt,
                              .endpoint = EndpointId("e"),
                              .address = m_endpoint.address(),
                              .resumeAfter = resumeAfter,
                              .isStream = isStream,
                              .idleSince = Instant::min(),
                              .connectDeadline = now + seconds(2),
                              .deadline = now + seconds(5)});
        });
        return attempt;
    }

    void deliver(const AttemptEnd &end)
    {
        m_thread->run([&] { m_traffic->deliver(end.request, end.attempt); });
    }

    /// Plays one request up to its end at the endpoint, which sends `answer`.
    AttemptEnd play(RawSocket &endpoint, const std::string &answer)
    {
        const RequestNumber request = m_reports.arrival().number;
        start(request);
        if (!endpoint.isOpen())
            endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(answer);
        return m_reports.end();
    }

public:
    void setUp() override
    {
        m_thread = std::make_unique<LoopThread>();
        m_thread->run([this] {
            m_traffic = std::make_unique<Traffic>(m_thread->loop(), m_codec, m_reports);
            m_traffic->listen("127.0.0.1:0");
        });
    }

    void tearDown() override
    {
        m_thread->run([this] { m_traffic.reset(); });
        m_thread.reset();
    }

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

    // An endpoint may send a second answer, also late, when the next request is already there.
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
        m_thread->run([&] {
            const Instant now = m_thread->loop().now();
            m_traffic->start({.request = request,
                              .attempt = 1,
                              .endpoint = EndpointId("closed"),
                              .address = "127.0.0.1:" + std::to_string(freePort),
                              .connectDeadline = now + seconds(2),
                              .deadline = now + seconds(5)});
        });
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::NotSent);
    }

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

    // First hunt, trouble-1 seed 1023743445518.
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
        m_thread->run([&] {
            m_traffic->refuse({.request = request, .kind = ErrorKind::AnswerInterrupted});
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), client.receiveUntil("never"));
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void cancelClosesTheEndpointsConnection()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        const AttemptNumber attempt = start(request);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        m_thread->run([&] { m_traffic->cancel(request, attempt); });
        CPPUNIT_ASSERT(endpoint.isClosedWithin(seconds(1)));
    }

    void callerThatLeavesIsReported()
    {
        RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        client.close();
        CPPUNIT_ASSERT_EQUAL(request, m_reports.gone());
    }

    // The endpoint would read the rest of the body out of the next request.
    void earlyAnswerToALongBodyEndsTheConnection()
    {
        // More than the kernel takes at once.
        const std::string body(40'000'000, 'x');
        m_thread->run([this, &body] {
            ConnectionLimits limits;
            limits.maxBodyBytes = body.size();
            m_traffic->apply(limits);
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

    void movedRunIsReported()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        const AttemptNumber attempt = start(request, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        m_thread->run([&] {
            m_traffic->move({.request = request,
                             .attempt = attempt,
                             .source = EndpointId("e"),
                             .sourceAddress = m_endpoint.address(),
                             .targetAddress = "10.0.0.9:80",
                             .deadline = m_thread->loop().now() + seconds(2)});
        });
        const RawSocket call = m_endpoint.accept();
        CPPUNIT_ASSERT(call.receiveUntil("\r\n\r\n").find("Target: 10.0.0.9:80")
                       != std::string::npos);
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
        const RunMoveEnd end = m_reports.moveEnd();
        CPPUNIT_ASSERT(end.result == RunMoveResult::Moved);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), end.handle);
    }

    void stoppingClosesConnectionsAfterTheirAnswers()
    {
        const RawSocket client = caller();
        RawSocket endpoint;
        const AttemptEnd end = play(endpoint, okAnswer);
        m_thread->run([this] { m_traffic->beginStop(); });
        deliver(end);
        CPPUNIT_ASSERT(client.receiveUntil("ok").find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(client.isClosedWithin(seconds(1)));
    }

    void slowHeaderIsRefused()
    {
        m_thread->run([this] {
            ConnectionLimits limits;
            limits.headerTimeout = milliseconds(300);
            m_traffic->apply(limits);
        });
        const RawSocket client = caller("GET /a HT");
        CPPUNIT_ASSERT(client.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 408"));
    }

    // Numbers of closed descriptors are given to the next connections while answers are written.
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

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficTest);
