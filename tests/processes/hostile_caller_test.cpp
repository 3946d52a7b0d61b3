#include "drivers/mesh/digest_codec.h"
#include "drivers/net/socket.h"
#include "drivers/net/socket_address.h"
#include "tests/processes/hostile_crowd.h"
#include "tests/support/caller.h"
#include "tests/support/scripted_endpoint.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
/// MaxBodyBytes of the site.
constexpr std::size_t maxBodyBytes = 4 * megabyte;
/// What one client sends where nothing but a bound of the daemon ends it.
constexpr std::size_t floodBytes = 8 * megabyte;

const std::string chunkedHead = "POST /look/1 HTTP/1.1\r\nHost: club.example\r\n"
                                "Authorization: Token key\r\nX-Attempt-Id: h\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

std::string lengthHead(const std::string &path, std::size_t length)
{
    return "POST " + path
            + " HTTP/1.1\r\nHost: club.example\r\nAuthorization: Token key\r\nX-Attempt-Id: h\r\n"
              "Content-Length: "
            + std::to_string(length) + "\r\n\r\n";
}

std::string headerOnly(const std::string &path)
{
    return "GET " + path
            + " HTTP/1.1\r\nHost: club.example\r\nAuthorization: Token key\r\n"
              "X-Attempt-Id: h\r\nX-Deadline-Ms: 8000\r\n\r\n";
}

HostileKind trailers()
{
    return {.opening = chunkedHead + "2\r\nhi\r\n0\r\n",
            .block = "X-Trailer: some value\r\n",
            .bytes = floodBytes};
}

HostileKind extensions()
{
    return {.opening = chunkedHead + "2;name", .block = "a", .bytes = floodBytes};
}

HostileKind chunkSizeDigits()
{
    return {.opening = chunkedHead, .block = "0", .bytes = floodBytes};
}

/// Stops some bytes before the end of the largest body that is allowed.
HostileKind stalledLargeChunks()
{
    return {.opening = chunkedHead + "3ffff0\r\n", .block = "x", .bytes = maxBodyBytes - 64};
}

HostileKind stalledTinyChunks()
{
    const std::string chunk = "8\r\nabcdefgh\r\n";
    return {.opening = chunkedHead,
            .block = chunk,
            .bytes = (maxBodyBytes - 64) / 8 * chunk.size()};
}

HostileKind bodiesWithoutEnd()
{
    return {.opening = chunkedHead,
            .block = "1000\r\n" + std::string(4096, 'x') + "\r\n",
            .bytes = floodBytes};
}

HostileKind silent(unsigned clients)
{
    return {.clients = clients};
}

/// Sends a body of which each byte comes alone.
HostileKind slowWriters(unsigned clients)
{
    return {.opening = lengthHead("/look/1", 2000),
            .block = "x",
            .bytes = 60,
            .clients = clients,
            .pieceBytes = 1};
}

/// The first answer is not read, the second one does not come, and bytes follow.
HostileKind neverReading()
{
    return {.opening = headerOnly("/look/large") + headerOnly("/look/held"),
            .block = headerOnly("/look/1"),
            .bytes = 8 * floodBytes,
            .clients = 3};
}

} // namespace

/// Checks from outside that a real daemon lives within its memory and its descriptors while
/// clients send what the limits forbid, and that it answers afterwards.
class HostileCallerProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostileCallerProcessTest);
    CPPUNIT_TEST(trailersWithoutEnd);
    CPPUNIT_TEST(chunkExtensionsWithoutEnd);
    CPPUNIT_TEST(chunkSizesOfManyDigits);
    CPPUNIT_TEST(manyHeaderLines);
    CPPUNIT_TEST(headerLineWithoutEnd);
    CPPUNIT_TEST(largeChunksThatStall);
    CPPUNIT_TEST(tinyChunksThatStall);
    CPPUNIT_TEST(announcedBodiesOverTheLimit);
    CPPUNIT_TEST(unannouncedBodiesOverTheLimit);
    CPPUNIT_TEST(connectionsThatSayNothing);
    CPPUNIT_TEST(callersThatSendAByteNowAndThen);
    CPPUNIT_TEST(callersThatNeverRead);
    CPPUNIT_TEST(wholeRequestsThatWait);
    CPPUNIT_TEST(severalAtOnce);
    CPPUNIT_TEST(trailersAtTheLocalAddresses);
    CPPUNIT_TEST(connectionsToTheLocalAddressesThatSayNothing);
    CPPUNIT_TEST(datagramsOfUnknownInstances);
    CPPUNIT_TEST(connectionsBeyondTheDescriptors);
    CPPUNIT_TEST(faultsAreReported);
    CPPUNIT_TEST(largestRequestIsServedInCalm);
    CPPUNIT_TEST_SUITE_END();

    /// Memory of the smallest machine.
    static constexpr unsigned memoryMb = 120;
    /// Fewer than those of the smallest machine, so that a small crowd exceeds them.
    static constexpr unsigned descriptors = 256;
    /// The process needs the others for endpoints, the store and its peers.
    static constexpr unsigned maxOpenDescriptors = descriptors * 3 / 4;
    static constexpr std::size_t largeAnswerBytes = 4608 * kilobyte;

    std::unique_ptr<TestSite> m_site;
    std::unique_ptr<ScriptedEndpoint> m_endpoint;
    std::atomic<bool> m_isEnding = false;
    std::size_t m_mostDescriptors = 0;

    DaemonProcess &daemon() { return *m_site->daemons().front(); }

    std::size_t peakKb()
    {
        std::ifstream status("/proc/" + std::to_string(daemon().processId()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
        return 0;
    }

    void countDescriptors()
    {
        std::error_code error;
        const std::filesystem::directory_iterator open(
                "/proc/" + std::to_string(daemon().processId()) + "/fd", error);
        const auto count = static_cast<std::size_t>(std::distance(begin(open), end(open)));
        m_mostDescriptors = std::max(m_mostDescriptors, count);
    }

    /// Answers at once, with a large answer, or not before the end of the test.
    void serve(const ScriptedRequest &request, const RawSocket &socket)
    {
        if (request.path == "/look/held") {
            waitUntil(seconds(30), [this] { return m_isEnding.load(); });
            return;
        }
        const std::size_t size = request.path == "/look/large" ? largeAnswerBytes : 2;
        socket.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id + "\r\nContent-Length: "
                    + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
    }

    void expectOrdinaryRequestIsAnswered() { expectOrdinaryRequestIsAnswered(daemon()); }

    static void expectOrdinaryRequestIsAnswered(const DaemonProcess &process)
    {
        const bool isAnswered = waitUntil(seconds(10), [&process] {
            return Caller().call(process.callerPort(), "/look/1", "ordinary", seconds(2)).status
                    == 200;
        });
        CPPUNIT_ASSERT_MESSAGE("no answer to an ordinary request", isAnswered);
    }

    void expectBoundsHeld()
    {
        countDescriptors();
        const std::size_t peak = peakKb();
        const std::string figures = std::to_string(peak / kilobyte) + " MB, "
                + std::to_string(m_mostDescriptors) + " descriptors";
        std::cout << " (" << figures << ")" << std::flush;
        CPPUNIT_ASSERT_MESSAGE("the process has ended", daemon().isRunning());
        CPPUNIT_ASSERT_MESSAGE(figures, peak > 0 && peak < memoryMb * kilobyte);
        CPPUNIT_ASSERT_MESSAGE(figures, m_mostDescriptors < maxOpenDescriptors);
    }

    void play(unsigned port, const std::vector<HostileKind> &kinds)
    {
        {
            HostileCrowd crowd(port, kinds);
            crowd.play([this] { countDescriptors(); });
        }
        expectBoundsHeld();
        expectOrdinaryRequestIsAnswered();
        expectBoundsHeld();
    }

    /// Sends the ordinary request while the connections are open.
    void playOpen(unsigned port, const std::vector<HostileKind> &kinds)
    {
        HostileCrowd crowd(port, kinds);
        crowd.play([this] { countDescriptors(); });
        expectOrdinaryRequestIsAnswered();
        expectBoundsHeld();
    }

    void play(const HostileKind &kind) { play(daemon().callerPort(), {kind}); }

public:
    void setUp() override
    {
        m_isEnding = false;
        m_mostDescriptors = 0;
        m_site = std::make_unique<TestSite>();
        m_site->publish(1);
        m_endpoint = std::make_unique<ScriptedEndpoint>(
                m_site->platform(), "scripted", "plain",
                [this](const ScriptedRequest &request, const RawSocket &socket) {
                    serve(request, socket);
                });
        m_site->addDaemon("entry-1", {.memoryMb = memoryMb, .maxDescriptors = descriptors});
        expectOrdinaryRequestIsAnswered();
    }

    void tearDown() override
    {
        m_isEnding = true;
        m_site->daemons().clear();
        m_endpoint.reset();
        m_site.reset();
    }

    void trailersWithoutEnd() { play(trailers()); }
    void chunkExtensionsWithoutEnd() { play(extensions()); }
    void chunkSizesOfManyDigits() { play(chunkSizeDigits()); }
    void manyHeaderLines()
    {
        play({.opening = "POST /look/1 HTTP/1.1\r\n", .block = "a: b\r\n", .bytes = floodBytes});
    }
    void headerLineWithoutEnd()
    {
        play({.opening = "POST /look/1 HTTP/1.1\r\nX-Long: ", .block = "a", .bytes = floodBytes});
    }
    void largeChunksThatStall() { play(stalledLargeChunks()); }
    void tinyChunksThatStall() { play(stalledTinyChunks()); }
    void announcedBodiesOverTheLimit()
    {
        play({.opening = lengthHead("/look/1", 100 * megabyte), .block = "x", .bytes = floodBytes});
    }
    void unannouncedBodiesOverTheLimit() { play(bodiesWithoutEnd()); }
    // Without a bound, no descriptor is left for the ordinary request.
    void connectionsThatSayNothing() { playOpen(daemon().callerPort(), {silent(400)}); }
    void callersThatSendAByteNowAndThen() { playOpen(daemon().callerPort(), {slowWriters(400)}); }
    void callersThatNeverRead() { play(neverReading()); }
    // Requests that are running are needed for repeats, so they hold memory until they end.
    void wholeRequestsThatWait()
    {
        play({.opening = lengthHead("/look/held", maxBodyBytes),
              .block = "x",
              .bytes = maxBodyBytes});
    }
    void severalAtOnce()
    {
        std::vector<HostileKind> kinds{
                trailers(),          extensions(),       chunkSizeDigits(), stalledLargeChunks(),
                stalledTinyChunks(), bodiesWithoutEnd(), neverReading()};
        for (HostileKind &kind : kinds)
            kind.clients = std::min(kind.clients, 8U);
        kinds.push_back(silent(200));
        kinds.push_back(slowWriters(50));
        play(daemon().callerPort(), kinds);
    }
    void trailersAtTheLocalAddresses()
    {
        for (const unsigned port :
             {daemon().readyPort(), daemon().metricsPort(), daemon().digestPort()})
            play(port, {trailers()});
    }
    void connectionsToTheLocalAddressesThatSayNothing()
    {
        for (const unsigned port :
             {daemon().readyPort(), daemon().metricsPort(), daemon().digestPort()})
            playOpen(port, {silent(250)});
    }
    // Each instance that a digest names is kept for a time, with all that the digest says.
    void datagramsOfUnknownInstances()
    {
        constexpr unsigned instances = 3000;
        constexpr std::uint32_t loadsOfEach = 3000;
        const Socket socket = Socket::datagram("127.0.0.1:0");
        const auto address =
                parseSocketAddress("127.0.0.1:" + std::to_string(daemon().digestPort()));
        for (unsigned number = 0; number < instances; ++number) {
            Digest digest{.instance = "forged-" + std::to_string(number),
                          .incarnation = "1",
                          .address = "127.0.0.1:9",
                          .sequence = 1};
            for (std::uint32_t load = 0; load < loadsOfEach; ++load)
                digest.endpointLoads.push_back({.endpoint = EndpointHash(load), .running = 1});
            const std::string bytes = encodeDigest(digest);
            ::sendto(socket.descriptor(), bytes.data(), bytes.size(), 0,
                     reinterpret_cast<const sockaddr *>(&*address), sizeof *address);
            // The socket of the daemon holds only a few.
            std::this_thread::sleep_for(std::chrono::microseconds(300));
        }
        expectOrdinaryRequestIsAnswered();
        expectBoundsHeld();
    }
    // A bound that is set too high leaves no descriptor for connections to endpoints.
    void connectionsBeyondTheDescriptors()
    {
        DaemonProcess &unbounded = m_site->addDaemon("entry-2",
                                                     {.memoryMb = memoryMb,
                                                      .maxConnections = 10 * descriptors,
                                                      .maxDescriptors = descriptors});
        expectOrdinaryRequestIsAnswered(unbounded);
        HostileCrowd crowd(unbounded.callerPort(), {silent(2 * descriptors)});
        crowd.play([] {});
        expectOrdinaryRequestIsAnswered(unbounded);
        CPPUNIT_ASSERT(unbounded.isRunning());
    }
    // Operators have to see why callers are refused, without a line for each of them.
    void faultsAreReported()
    {
        play(trailers());
        const auto pageHas = [this](const std::string &text) {
            return Caller::fetch(daemon().metricsPort(), "/metrics").body.find(text)
                    != std::string::npos;
        };
        // The control thread takes over the counts several times a second.
        CPPUNIT_ASSERT(waitUntil(seconds(5), [&] {
            return pageHas("monsoonsail_caller_faults_total{reason=\"header-too-long\"}");
        }));
        CPPUNIT_ASSERT(waitUntil(seconds(5), [this] {
            return daemon().log().find("\"callers-refused\"") != std::string::npos;
        }));
        const std::string log = daemon().log();
        const std::size_t line = log.find("\"callers-refused\"");
        CPPUNIT_ASSERT(log.find("header-too-long=", line) != std::string::npos);
        std::size_t lines = 0;
        for (std::size_t at = line; at != std::string::npos;
             at = log.find("\"callers-refused\"", at + 1))
            ++lines;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(lines), lines <= 2);
    }
    // Guards against bounds that callers within the limits meet.
    void largestRequestIsServedInCalm()
    {
        Caller caller;
        const CallResult result = caller.upload(daemon().callerPort(), "/look/1", "largest",
                                                seconds(8), std::string(maxBodyBytes, 'x'));
        CPPUNIT_ASSERT_EQUAL(200, result.status);
        CPPUNIT_ASSERT(result.isComplete);
        expectBoundsHeld();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostileCallerProcessTest);
