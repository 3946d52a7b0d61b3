#include "tests/support/caller.h"
#include "tests/support/scripted_endpoint.h"
#include "tests/support/test_site.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks from outside how much memory a real daemon uses while endpoints send bytes without end,
/// and what that does to the requests of other callers.
class EndlessResponseProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessResponseProcessTest);
    CPPUNIT_TEST(endlessBodiesStayWithinTheMemory);
    CPPUNIT_TEST(endlessChunksStayWithinTheMemory);
    CPPUNIT_TEST(hugeLengthsStayWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned faultyEndpoints = 6;
    static constexpr unsigned callers = 48;
    static constexpr unsigned requestsOfEach = 6;
    /// Of the smallest instances of the users.
    static constexpr std::size_t memoryKb = 260UL * 1024;
    static constexpr milliseconds callTimeout{8000};

    TestSite m_site;

    /// Returns the most memory that the process has ever used.
    static std::size_t peakKb(pid_t process)
    {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
        return 0;
    }

    void playFlood(const std::string &fields, const std::string &repeated)
    {
        m_site.startUp(1);
        std::string block;
        while (block.size() < 64UL * 1024)
            block += repeated;
        const auto flood = [&](const ScriptedRequest &request, RawSocket &socket) {
            bool isOpen = socket.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id + "\r\n"
                                      + fields + "\r\n");
            while (isOpen)
                isOpen = socket.send(block);
            socket.close();
        };
        std::vector<std::unique_ptr<ScriptedEndpoint>> faulty;
        for (unsigned index = 0; index < faultyEndpoints; ++index) {
            faulty.push_back(std::make_unique<ScriptedEndpoint>(
                    m_site.platform(), "faulty-" + std::to_string(index), "plain", flood));
        }
        std::this_thread::sleep_for(seconds(1));
        const DaemonProcess &daemon = *m_site.daemons().front();
        std::atomic<unsigned> failedStreams = 0;
        std::vector<std::jthread> threads;
        for (unsigned number = 0; number < callers; ++number) {
            threads.emplace_back([&, number] {
                for (unsigned round = 0; round < requestsOfEach; ++round) {
                    Caller caller;
                    const std::string id =
                            "c" + std::to_string(number) + "-" + std::to_string(round);
                    const bool isStream = number % 4 == 0;
                    const CallResult result =
                            caller.call(daemon.callerPort(), isStream ? "/review/1" : "/look/1", id,
                                        callTimeout);
                    if (isStream && (result.status != 200 || !result.isComplete))
                        ++failedStreams;
                }
            });
        }
        threads.clear();
        const std::size_t peak = peakKb(daemon.processId());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " kB", peak > 0 && peak < memoryKb);
        CPPUNIT_ASSERT_EQUAL(0U, failedStreams.load());
    }

public:
    void endlessBodiesStayWithinTheMemory() { playFlood("", "bytes"); }
    void endlessChunksStayWithinTheMemory()
    {
        playFlood("Transfer-Encoding: chunked\r\n", "4\r\nbyte\r\n");
    }
    void hugeLengthsStayWithinTheMemory()
    {
        playFlood("Content-Length: 999999999999\r\n", "bytes");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseProcessTest);
