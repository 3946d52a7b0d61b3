#include "tests/drivers/traffic_relay_fixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <string>
#include <thread>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// More than any bound of an answer; an endpoint that is not stopped sends all of it.
constexpr std::size_t endlessBytes = 256ULL * 1024 * 1024;
/// What an answer may take of the memory, with what the test and the sockets need.
constexpr std::size_t mostResidentGrowth = 64ULL * 1024 * 1024;

const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\n";
const std::string streamHead = head + "Content-Type: text/event-stream\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

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

/// Guards that an endpoint whose answer never ends is given up, within bounds of memory and time.
class EndlessAnswerTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswerTest);
    CPPUNIT_TEST(headLineWithoutEnd);
    CPPUNIT_TEST(fieldsWithoutEnd);
    CPPUNIT_TEST(chunkExtensionWithoutEnd);
    CPPUNIT_TEST(chunksWithoutEnd);
    CPPUNIT_TEST(bodyWithoutEnd);
    CPPUNIT_TEST(eventWithoutEnd);
    CPPUNIT_TEST(trailersWithoutEnd);
    CPPUNIT_TEST(interimAnswersWithoutEnd);
    CPPUNIT_TEST(foreignBodyWithoutEnd);
    CPPUNIT_TEST(answerToAMoveWithoutEnd);
    CPPUNIT_TEST(soundStreamOfManyBytesIsPassedOn);
    CPPUNIT_TEST_SUITE_END();

    /// Sends `beginning` and then `piece` again and again until the daemon closes the connection.
    /// Returns whether it did before all bytes were sent.
    static bool isClosedDuring(const RawSocket &endpoint, const std::string &beginning,
                               const std::string &piece)
    {
        if (!endpoint.send(beginning))
            return true;
        std::string block;
        while (block.size() < 64ULL * 1024)
            block += piece;
        for (std::size_t sent = 0; sent < endlessBytes; sent += block.size()) {
            if (!endpoint.send(block))
                return true;
        }
        return false;
    }

    void checkGivenUp(const std::string &beginning, const std::string &piece, bool isStream = false)
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        start(request, isStream);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        const std::size_t before = residentBytes();
        const auto begin = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(isClosedDuring(endpoint, beginning, piece));
        const std::size_t growth = residentBytes() - std::min(before, residentBytes());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth < mostResidentGrowth);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < seconds(5));
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Interrupted);
    }

public:
    void headLineWithoutEnd() { checkGivenUp("HTTP/1.1 200 ", "OK"); }
    void fieldsWithoutEnd() { checkGivenUp(head, "Name: value\r\n"); }
    void chunkExtensionWithoutEnd() { checkGivenUp(head + chunked + "5;", "name=value;"); }
    void chunksWithoutEnd() { checkGivenUp(head + chunked, "4\r\nbyte\r\n"); }
    void bodyWithoutEnd() { checkGivenUp(head + "\r\n", "bytes"); }
    void eventWithoutEnd() { checkGivenUp(streamHead + chunked, "6\r\ndata: \r\n", true); }
    void trailersWithoutEnd() { checkGivenUp(head + chunked + "0\r\n", "Name: value\r\n"); }
    void interimAnswersWithoutEnd() { checkGivenUp("", "HTTP/1.1 102 Processing\r\n\r\n"); }
    void foreignBodyWithoutEnd()
    {
        checkGivenUp("HTTP/1.1 200 OK\r\nId: other\r\n" + chunked, "4\r\nbyte\r\n");
    }

    void answerToAMoveWithoutEnd()
    {
        const RawSocket client = caller();
        const RequestNumber request = m_reports.arrival().number;
        const AttemptNumber attempt = start(request, true);
        const RawSocket running = m_endpoint.accept();
        running.receiveUntil("\r\n\r\n");
 m_thread->runAndWait([&] { m_traffic->moveRun({.request = request, .attempt = attempt, .source = EndpointId("e"), .sourceAddress = m_endpoint.address(), .targetAddress = "127.0.0.1:1", .deadline = m_thread->loop().now() + seconds(20)});
        });
        const RawSocket mover = m_endpoint.accept();
        mover.receiveUntil("\r\n\r\n");
        CPPUNIT_ASSERT(isClosedDuring(mover, head + chunked + "5;", "name=value;"));
        CPPUNIT_ASSERT(m_reports.moveEnd().result == RunMoveResult::Failed);
    }

    // A stream is bounded by its deadline and by what its caller reads, not by its length.
    void soundStreamOfManyBytesIsPassedOn()
    {
        const RawSocket client = caller();
        start(m_reports.arrival().number, true);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        const std::string text(1000, 'x');
        std::jthread sender([&endpoint, &text] {
            endpoint.send(streamHead + chunked);
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
        CPPUNIT_ASSERT(m_reports.end().result == AttemptResult::Streamed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswerTest);
