#include "tests/drivers/traffic_relay_fixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// More than any limit of a response. An endpoint whose connection stays open sends all of it.
constexpr std::size_t maxSentBytes = 256ULL * 1024 * 1024;
/// Limit for the memory of a response, including that of the test and the sockets.
constexpr std::size_t maxResidentGrowthBytes = 64ULL * 1024 * 1024;

const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\n";
const std::string streamHead = head + "Content-Type: text/event-stream\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n\r\n";

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    constexpr std::size_t pageBytes = 4096;
    return resident * pageBytes;
}

} // namespace

/// Checks that the connection to an endpoint whose response never ends is closed, within limits of
/// memory and time.
class EndlessResponseTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(EndlessResponseTest);
    CPPUNIT_TEST(endlessStatusLine);
    CPPUNIT_TEST(endlessFields);
    CPPUNIT_TEST(endlessChunkExtension);
    CPPUNIT_TEST(endlessChunks);
    CPPUNIT_TEST(endlessBody);
    CPPUNIT_TEST(endlessEvent);
    CPPUNIT_TEST(endlessTrailers);
    CPPUNIT_TEST(endlessInterimResponses);
    CPPUNIT_TEST(endlessBodyOfAnotherResponse);
    CPPUNIT_TEST(endlessMoveResponse);
    CPPUNIT_TEST(endlessBodiesTogetherStayWithinTheMemory);
    CPPUNIT_TEST(longValidStreamIsForwarded);
    CPPUNIT_TEST_SUITE_END();

    /// Sends `prefix` and then `repeated` until the relay closes the connection. Returns whether it
    /// did before all bytes were sent.
    static bool isClosedDuring(const RawSocket &endpoint, const std::string &prefix,
                               const std::string &repeated)
    {
        if (!endpoint.send(prefix))
            return true;
        std::string block;
        while (block.size() < 64ULL * 1024)
            block += repeated;
        for (std::size_t sent = 0; sent < maxSentBytes; sent += block.size()) {
            if (!endpoint.send(block))
                return true;
        }
        return false;
    }

    void expectAborted(const std::string &prefix, const std::string &repeated,
                       bool isStream = false)
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        startAttempt(request, isStream);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        const std::size_t residentBefore = residentBytes();
        const auto startedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(isClosedDuring(endpoint, prefix, repeated));
        const std::size_t growth = residentBytes() - std::min(residentBefore, residentBytes());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth < maxResidentGrowthBytes);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < seconds(5));
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::Interrupted);
    }

public:
    void endlessStatusLine() { expectAborted("HTTP/1.1 200 ", "OK"); }
    void endlessFields() { expectAborted(head, "Name: value\r\n"); }
    void endlessChunkExtension() { expectAborted(head + chunkedField + "5;", "name=value;"); }
    void endlessChunks() { expectAborted(head + chunkedField, "4\r\nbyte\r\n"); }
    void endlessBody() { expectAborted(head + "\r\n", "bytes"); }
    void endlessEvent() { expectAborted(streamHead + chunkedField, "6\r\ndata: \r\n", true); }
    void endlessTrailers() { expectAborted(head + chunkedField + "0\r\n", "Name: value\r\n"); }
    void endlessInterimResponses() { expectAborted("", "HTTP/1.1 102 Processing\r\n\r\n"); }
    void endlessBodyOfAnotherResponse()
    {
        expectAborted("HTTP/1.1 200 OK\r\nId: other\r\n" + chunkedField, "4\r\nbyte\r\n");
    }

    void endlessMoveResponse()
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        const AttemptNumber attempt = startAttempt(request, true);
        const RawSocket runConnection = m_endpoint.accept();
        runConnection.receiveUntil("\r\n\r\n");
        m_thread->runAndWait([&] {
            m_traffic->moveRun({.request = request,
                                .attempt = attempt,
                                .source = EndpointId("e"),
                                .sourceAddress = m_endpoint.address(),
                                .targetAddress = "127.0.0.1:1",
                                .deadline = m_thread->loop().now() + seconds(20)});
        });
        const RawSocket moveConnection = m_endpoint.accept();
        moveConnection.receiveUntil("\r\n\r\n");
        CPPUNIT_ASSERT(isClosedDuring(moveConnection, head + chunkedField + "5;", "name=value;"));
        CPPUNIT_ASSERT(m_listener.nextMoveEnd().result == RunMoveResult::Failed);
    }

    // Each stayed below the limit of a single response.
    void endlessBodiesTogetherStayWithinTheMemory()
    {
        constexpr std::size_t floods = 12;
        constexpr std::size_t sentByEach = 15ULL * 1024 * 1024;
        const RawSocket sound = connectCaller();
        startAttempt(m_listener.nextArrival().number);
        const RawSocket soundEndpoint = m_endpoint.accept();
        soundEndpoint.receiveUntil("\r\n\r\n");
        soundEndpoint.send(head + "Content-Length: 5\r\n\r\nso");
        std::vector<RawSocket> callers;
        std::vector<RawSocket> endpoints;
        for (std::size_t index = 0; index < floods; ++index) {
            callers.push_back(connectCaller());
            startAttempt(m_listener.nextArrival().number);
            endpoints.push_back(m_endpoint.accept());
            endpoints.back().receiveUntil("\r\n\r\n");
            endpoints.back().send(head + "\r\n");
        }
        const std::string block(64UL * 1024, 'x');
        std::size_t most = 0;
        for (std::size_t sent = 0; sent < sentByEach; sent += block.size()) {
            for (const RawSocket &endpoint : endpoints)
                endpoint.send(block);
            most = std::max(most, m_traffic->responseMemory().bytes());
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most < maxResponseBytes + block.size() * 4);
        const AttemptEnd cut = m_listener.nextAttemptEnd();
        CPPUNIT_ASSERT(cut.result == AttemptResult::Interrupted && cut.wasTooLong);
        soundEndpoint.send("und");
        AttemptEnd end = m_listener.nextAttemptEnd();
        while (end.result == AttemptResult::Interrupted)
            end = m_listener.nextAttemptEnd();
        expectResult(AttemptResult::Answered, end, "sound answer");
    }

    // Streams are limited by their deadline and their caller, not by their length.
    void longValidStreamIsForwarded()
    {
        const RawSocket client = connectCaller();
        startAttempt(m_listener.nextArrival().number, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        const std::string text(1000, 'x');
        std::jthread sender([&endpoint, &text] {
            endpoint.send(streamHead + chunkedField);
            for (int id = 1; id <= 40'000; ++id) {
                const std::string event = "id: " + std::to_string(id) + "\ndata: " + text + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                endpoint.send(size + event + "\r\n");
            }
            endpoint.send("0\r\n\r\n");
        });
        std::string tail;
        while (!tail.ends_with("\r\n0\r\n\r\n")) {
            const auto bytes = client.receiveSome(seconds(5));
            CPPUNIT_ASSERT(bytes && !bytes->empty());
            tail = (tail + *bytes)
                           .substr(tail.size() + bytes->size() > 4096
                                           ? tail.size() + bytes->size() - 4096
                                           : 0);
        }
        CPPUNIT_ASSERT(tail.find("id: 40000\n") != std::string::npos);
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::Streamed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);
