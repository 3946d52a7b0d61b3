#include "tests/drivers/traffic_relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kilobyte = 1024;

std::string uploadHead(const std::string &id, std::size_t length)
{
    return "POST /a HTTP/1.1\r\nId: " + id + "\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n";
}

} // namespace

/// Checks which callers a relay refuses or closes when all of them together exceed its bounds.
class HostileCallerTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(HostileCallerTest);
    CPPUNIT_TEST(largestIncompleteRequestIsRefused);
    CPPUNIT_TEST(runningRequestIsKept);
    CPPUNIT_TEST(smallRequestIsServedBeyondTheBound);
    CPPUNIT_TEST(largeWholeRequestBeyondTheBoundIsRefused);
    CPPUNIT_TEST(onlyRequestIsServedBeyondTheBound);
    CPPUNIT_TEST(parsedHeadersCountWithTheMemoryTheyTake);
    CPPUNIT_TEST(connectionThatWaitedLongestIsClosed);
    CPPUNIT_TEST(runningRequestsKeepTheirConnections);
    CPPUNIT_TEST(inputBehindARunningRequestIsBounded);
    CPPUNIT_TEST(requestWithoutEndIsRefusedInTime);
    CPPUNIT_TEST_SUITE_END();

    void expectRefused(const RawSocket &socket, const std::string &status)
    {
        const std::string answer = socket.receiveUntil("}");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 " + status));
        CPPUNIT_ASSERT(answer.find("not-run") != std::string::npos);
    }

    void expectFault(CallerFault fault)
    {
        CPPUNIT_ASSERT(m_callerFaults.counts().at(static_cast<std::size_t>(fault)) > 0);
    }

    /// Sends a whole request and answers its attempt after `between`.
    template <typename Function>
    void withRunningRequest(std::size_t bodyBytes, Function between)
    {
        const RawSocket running =
                connectCaller(uploadHead("running", bodyBytes) + std::string(bodyBytes, 'r'));
        startAttempt(m_listener.nextArrival().number);
        const RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        between(running);
        endpoint.send("HTTP/1.1 200 OK\r\nId: running\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT(m_listener.nextAttemptEnd().result == AttemptResult::Answered);
    }

public:
    void setUp() override
    {
        m_callerLimits = {.maxConnections = 8,
                          .maxRequestBytes = 512 * kilobyte,
                          .requestTime = milliseconds(400)};
        TrafficRelayFixture::setUp();
    }

    // A caller that just began must not pay for one that holds much.
    void largestIncompleteRequestIsRefused()
    {
        const RawSocket small = connectCaller(uploadHead("small", 100 * kilobyte)
                                              + std::string(80 * kilobyte, 's'));
        std::this_thread::sleep_for(milliseconds(30));
        const RawSocket large = connectCaller(uploadHead("large", 1000 * kilobyte)
                                              + std::string(600 * kilobyte, 'l'));
        expectRefused(large, "503");
        expectFault(CallerFault::RequestMemory);
        small.send(std::string(20 * kilobyte, 's'));
        CPPUNIT_ASSERT_EQUAL(std::string("small"), m_listener.nextArrival().callerId);
    }

    void runningRequestIsKept()
    {
        withRunningRequest(200 * kilobyte, [this](const RawSocket &running) {
            const RawSocket large = connectCaller(uploadHead("large", 1000 * kilobyte)
                                                  + std::string(600 * kilobyte, 'l'));
            expectRefused(large, "503");
            CPPUNIT_ASSERT(!running.isClosedWithin(milliseconds(20)));
        });
    }

    // Large requests that run must not keep normal ones out.
    void smallRequestIsServedBeyondTheBound()
    {
        withRunningRequest(500 * kilobyte, [this](const RawSocket & /*running*/) {
            const RawSocket small =
                    connectCaller(uploadHead("small", 16 * kilobyte) + std::string(16384, 's'));
            CPPUNIT_ASSERT_EQUAL(std::string("small"), m_listener.nextArrival().callerId);
        });
    }

    void largeWholeRequestBeyondTheBoundIsRefused()
    {
        withRunningRequest(450 * kilobyte, [this](const RawSocket & /*running*/) {
            const RawSocket large =
                    connectCaller(uploadHead("large", 200 * kilobyte) + std::string(204800, 'l'));
            expectRefused(large, "503");
        });
    }

    // The limits of the configuration may allow larger requests than the bound.
    void onlyRequestIsServedBeyondTheBound()
    {
        const RawSocket client =
                connectCaller(uploadHead("large", 1024 * kilobyte) + std::string(1048576, 'l'));
        CPPUNIT_ASSERT_EQUAL(std::string("large"), m_listener.nextArrival().callerId);
    }

    // A parsed field takes far more memory than the few bytes that were sent.
    void parsedHeadersCountWithTheMemoryTheyTake()
    {
        std::string request = "GET /a HTTP/1.1\r\nId: fields\r\n";
        while (request.size() < 16'300)
            request += "a:\r\n";
        request += "\r\n";
        const RawSocket first = connectCaller(request);
        m_listener.nextArrival();
        const RawSocket second = connectCaller(request);
        expectRefused(second, "503");
    }

    void connectionThatWaitedLongestIsClosed()
    {
        std::vector<RawSocket> silent;
        for (int number = 0; number < 8; ++number) {
            silent.push_back(connectCaller(""));
            std::this_thread::sleep_for(milliseconds(10));
        }
        const RawSocket client = connectCaller();
        m_listener.nextArrival();
        CPPUNIT_ASSERT(silent.front().isClosedWithin(seconds(2)));
        CPPUNIT_ASSERT(!silent.back().isClosedWithin(milliseconds(20)));
        expectFault(CallerFault::TooManyConnections);
    }

    void runningRequestsKeepTheirConnections()
    {
        std::vector<RawSocket> running;
        for (int number = 0; number < 8; ++number) {
            running.push_back(connectCaller());
            m_listener.nextArrival();
        }
        const RawSocket further = connectCaller();
        CPPUNIT_ASSERT(further.isClosedWithin(seconds(2)));
        for (const RawSocket &socket : running)
            CPPUNIT_ASSERT(!socket.isClosedWithin(milliseconds(5)));
    }

    // A caller that does not read its answers could send without end.
    void inputBehindARunningRequestIsBounded()
    {
        RawSocket running = connectCaller();
        m_listener.nextArrival();
        std::jthread sender([&running] { running.send(std::string(8192 * kilobyte, 'x')); });
        std::this_thread::sleep_for(milliseconds(200));
        std::size_t held = 0;
        m_thread->runAndWait([&] { held = m_traffic->requestMemory().bytes(); });
        // Ends the send.
        m_thread->runAndWait([this] { m_traffic.reset(); });
        sender.join();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(held), held < 32 * kilobyte);
    }

    void requestWithoutEndIsRefusedInTime()
    {
        const RawSocket slow = connectCaller(uploadHead("slow", 1000));
        std::string answer;
        for (int count = 0; count < 100 && answer.empty(); ++count) {
            slow.send("x");
            answer = slow.receiveSome(milliseconds(20)).value_or("closed");
        }
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 408"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostileCallerTest);
