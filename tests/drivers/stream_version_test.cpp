#include "tests/drivers/traffic_relay_fixture.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string streamHead = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n";
constexpr std::string_view event = "id: 1\ndata: x\n\n";
constexpr std::string_view check = "GET /status HTTP/1.1\r\n\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
const std::string answer = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";
constexpr std::int64_t startedMs = 17;

} // namespace

/// Checks that a stream gets no events of another software version, and that a request is not sent
/// to another incarnation of its endpoint.
class StreamVersionTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(StreamVersionTest);
    CPPUNIT_TEST(attemptOfAnotherVersionIsNotSentBesideEvents);
    CPPUNIT_TEST(attemptOfAnotherVersionIsSentBeforeEvents);
    CPPUNIT_TEST(sameStartIsSentTheRequest);
    CPPUNIT_TEST(otherStartIsNotSentTheRequest);
    CPPUNIT_TEST(endpointWithoutAStartIsSentTheRequest);
    CPPUNIT_TEST(endpointThatFailsTheCheckIsNotSentTheRequest);
    CPPUNIT_TEST(repeatedAnswerToTheCheckIsNotPassedOn);
    CPPUNIT_TEST(repeatedAnswerToTheCheckAnswersNoLaterRequest);
    CPPUNIT_TEST(repeatedAnswerToTheCheckIsNotTheAnswerToAMove);
    CPPUNIT_TEST(lateAnswerToAnEarlierRequestIsNoAnswerToTheCheck);
    CPPUNIT_TEST(checkIsAnsweredWithAnEmptyId);
    CPPUNIT_TEST(silentEndpointIsNotSentTheRequest);
    CPPUNIT_TEST(endpointThatClosesAfterTheCheckIsNotSentTheRequest);
    CPPUNIT_TEST(closingEndpointIsCheckedOnAnotherConnection);
    CPPUNIT_TEST(closingEndpointThatFailsTheCheckIsNotSentTheRequest);
    CPPUNIT_TEST(endpointThatClosesNoLongerIsCheckedOnOneConnection);
    CPPUNIT_TEST(checkAnswerThatEndsWithItsConnectionIsReadOnAnotherOne);
    CPPUNIT_TEST(checkedConnectionIsNotCheckedAgain);
    CPPUNIT_TEST(unreadableCheckAnswerIsNotSentTheRequest);
    CPPUNIT_TEST(interimAnswerDoesNotEndTheCheck);
    CPPUNIT_TEST(resetDuringTheCheckCountsAsNotSent);
    CPPUNIT_TEST(requestWithoutACheckIsSentAtOnce);
    CPPUNIT_TEST_SUITE_END();

    void start(RequestNumber request, bool checksIncarnation, const std::string &software = "v1",
               bool isStream = false, Duration connectTime = seconds(2))
    {
        const AttemptNumber attempt = ++m_lastAttempt;
        m_thread->runAndWait([&] {
            const Instant now = m_thread->loop().now();
            m_traffic->startAttempt({.request = request,
                                     .attempt = attempt,
                                     .endpoint = EndpointId("e"),
                                     .address = m_endpoint.address(),
                                     .startedMs = startedMs,
                                     .software = SoftwareVersion(software),
                                     .checksIncarnation = checksIncarnation,
                                     .isStream = isStream,
                                     .connectionUsedAfter = Instant::min(),
                                     .connectDeadline = now + connectTime,
                                     .deadline = now + seconds(5)});
        });
    }

    static std::string checkAnswer(const std::string &body, const std::string &fields = {},
                                   const std::string &status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\n" + fields
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Starts an attempt that is checked, and answers the check.
    RawSocket startChecked(const std::string &response, const RawSocket & /*caller*/)
    {
        start(m_listener.nextArrival().number, true);
        RawSocket endpoint = m_endpoint.accept();
        CPPUNIT_ASSERT_EQUAL(std::string(check), endpoint.receiveUntil(headEnd));
        endpoint.send(response);
        return endpoint;
    }

    /// Lets the endpoint close a connection on which it has answered the check.
    void closeAfterCheck()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(
                checkAnswer(std::to_string(startedMs), "Connection: close\r\n"), client);
        expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "close");
    }

    /// Starts an attempt that is checked on another connection, and answers the check. Returns the
    /// connection for the request and that of the check.
    std::pair<RawSocket, RawSocket> startSeparatelyChecked(const std::string &response)
    {
        start(m_listener.nextArrival().number, true);
        RawSocket endpoint = m_endpoint.accept();
        RawSocket call = m_endpoint.accept();
        CPPUNIT_ASSERT_EQUAL(std::string(check), call.receiveUntil(headEnd));
        expectNothing(endpoint);
        call.send(response);
        return {std::move(endpoint), std::move(call)};
    }

    static void expectNothing(const RawSocket &endpoint)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), endpoint.receiveUntil(headEnd, milliseconds(100)));
    }

    void expectAnswered(const RawSocket &endpoint)
    {
        CPPUNIT_ASSERT(endpoint.receiveUntil(headEnd).starts_with("GET /a HTTP/1.1\r\n"));
        endpoint.send(answer);
        expectResult(AttemptResult::Answered, m_listener.nextAttemptEnd(), "answer");
    }

public:
    void attemptOfAnotherVersionIsNotSentBesideEvents()
    {
        for (const bool isBroken : {true, false}) {
            const RawSocket client = connectCaller();
            const RequestNumber request = m_listener.nextArrival().number;
            start(request, false, "v1", true);
            RawSocket endpoint = m_endpoint.accept();
            endpoint.receiveUntil(headEnd);
            endpoint.send(streamHead + "\r\n" + std::string(event));
            client.receiveUntil(event);
            if (isBroken) {
                endpoint.reset();
                expectResult(AttemptResult::Interrupted, m_listener.nextAttemptEnd(), "reset");
            }
            start(request, false, "v2", true);
            expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "other version");
            CPPUNIT_ASSERT(!m_endpoint.accept(milliseconds(100)).isOpen());
            m_thread->runAndWait([&] { m_traffic->abortAnswer(request); });
        }
    }

    void attemptOfAnotherVersionIsSentBeforeEvents()
    {
        const RawSocket client = connectCaller();
        const RequestNumber request = m_listener.nextArrival().number;
        start(request, false, "v1", true);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil(headEnd);
        endpoint.reset();
        expectResult(AttemptResult::Interrupted, m_listener.nextAttemptEnd(), "reset");
        start(request, false, "v2", true);
        endpoint = m_endpoint.accept();
        CPPUNIT_ASSERT(!endpoint.receiveUntil(headEnd).empty());
    }

    void sameStartIsSentTheRequest()
    {
        const RawSocket client = connectCaller();
        expectAnswered(startChecked(checkAnswer(std::to_string(startedMs)), client));
    }

    void otherStartIsNotSentTheRequest()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(checkAnswer(std::to_string(startedMs + 1)), client);
        expectResult(AttemptResult::Misdirected, m_listener.nextAttemptEnd(), "other start");
        expectNothing(endpoint);
        CPPUNIT_ASSERT(endpoint.isClosedWithin(milliseconds(500)));
    }

    void endpointWithoutAStartIsSentTheRequest()
    {
        for (const std::string status : {"200 OK", "404 None"}) {
            const RawSocket client = connectCaller();
            RawSocket endpoint = startChecked(checkAnswer("", {}, status), client);
            expectAnswered(endpoint);
            endpoint.close();
            m_thread->runAndWait([&] { m_traffic->closeConnections(EndpointId("e")); });
        }
    }

    void endpointThatFailsTheCheckIsNotSentTheRequest()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(checkAnswer("", {}, "503 Busy"), client);
        expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "503");
        expectNothing(endpoint);
    }

    // The answer to the check has no id, so its repeat could be taken for the next one.
    void repeatedAnswerToTheCheckIsNotPassedOn()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(checkAnswer(std::to_string(startedMs))
                                                        + checkAnswer(std::to_string(startedMs)),
                                                client);
        expectAnswered(endpoint);
    }

    // A repeat that came after the request that had asked for the check was passed on to the caller
    // of the next one on the connection.
    void repeatedAnswerToTheCheckAnswersNoLaterRequest()
    {
        for (const std::string status : {"200 OK", "404 None"}) {
            const std::string checked = checkAnswer(std::to_string(startedMs), {}, status);
            RawSocket endpoint;
            {
                const RawSocket first = connectCaller();
                endpoint = startChecked(checked, first);
                endpoint.receiveUntil(headEnd);
                endpoint.send(answer);
                deliver(m_listener.nextAttemptEnd());
            }
            for (const bool checksIncarnation : {true, false}) {
                const RawSocket client = connectCaller();
                start(m_listener.nextArrival().number, checksIncarnation);
                CPPUNIT_ASSERT(endpoint.receiveUntil(headEnd).starts_with("GET /a HTTP/1.1\r\n"));
                endpoint.send(checked + answer);
                const AttemptEnd end = m_listener.nextAttemptEnd();
                expectResult(AttemptResult::Answered, end, status);
                deliver(end);
                const std::string received = client.receiveUntil("ok");
                CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 OK\r\nId: r"));
            }
            endpoint.close();
            m_thread->runAndWait([&] { m_traffic->closeConnections(EndpointId("e")); });
        }
    }

    // An order to move a run could use a connection that was kept after a check. Its answer has no
    // id either, so the repeat was taken for it, and the handle of the run was lost.
    void repeatedAnswerToTheCheckIsNotTheAnswerToAMove()
    {
        const std::string checked = checkAnswer(std::to_string(startedMs));
        const RawSocket client = connectCaller();
        const RequestNumber moved = m_listener.nextArrival().number;
        start(moved, true, "v1", true);
        const AttemptNumber attempt = m_lastAttempt;
        const RawSocket run = m_endpoint.accept();
        run.receiveUntil(headEnd);
        run.send(checked);
        run.receiveUntil(headEnd);
        const RawSocket other = connectCaller();
        const RawSocket kept = startChecked(checked, other);
        kept.receiveUntil(headEnd);
        kept.send(answer);
        deliver(m_listener.nextAttemptEnd());
        m_thread->runAndWait([&] {
            m_traffic->moveRun({.request = moved,
                                .attempt = attempt,
                                .source = EndpointId("e"),
                                .sourceAddress = m_endpoint.address(),
                                .targetAddress = "127.0.0.1:1",
                                .deadline = m_thread->loop().now() + seconds(2)});
        });
        const RawSocket call = m_endpoint.accept(milliseconds(100));
        kept.send(checked);
        const RawSocket &used = call.isOpen() ? call : kept;
        used.receiveUntil(headEnd);
        used.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), m_listener.nextMoveEnd().handle);
    }

    void lateAnswerToAnEarlierRequestIsNoAnswerToTheCheck()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(checkAnswer("old", "Id: earlier\r\n")
                                                        + checkAnswer(std::to_string(startedMs)),
                                                client);
        expectAnswered(endpoint);
    }

    void checkIsAnsweredWithAnEmptyId()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(
                checkAnswer(std::to_string(startedMs), "Id: \r\n", "421 Other"), client);
        expectAnswered(endpoint);
    }

    void silentEndpointIsNotSentTheRequest()
    {
        const RawSocket client = connectCaller();
        start(m_listener.nextArrival().number, true, "v1", true, milliseconds(150));
        const RawSocket endpoint = m_endpoint.accept();
        CPPUNIT_ASSERT_EQUAL(std::string(check), endpoint.receiveUntil(headEnd));
        expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "silence");
        endpoint.send(checkAnswer(std::to_string(startedMs)));
        expectNothing(endpoint);
    }

    void endpointThatClosesAfterTheCheckIsNotSentTheRequest()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked(
                checkAnswer(std::to_string(startedMs), "Connection: close\r\n"), client);
        expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "close");
        expectNothing(endpoint);
    }

    // Such an endpoint was no longer checked, so streams went on at its next incarnation.
    void closingEndpointIsCheckedOnAnotherConnection()
    {
        closeAfterCheck();
        for (const bool isOther : {true, false}) {
            const RawSocket client = connectCaller();
            const auto [endpoint, call] = startSeparatelyChecked(checkAnswer(
                    std::to_string(startedMs + (isOther ? 1 : 0)), "Connection: close\r\n"));
            if (!isOther) {
                expectAnswered(endpoint);
                continue;
            }
            expectResult(AttemptResult::Misdirected, m_listener.nextAttemptEnd(), "other start");
            expectNothing(endpoint);
            CPPUNIT_ASSERT(endpoint.isClosedWithin(milliseconds(500)));
        }
    }

    // Without an answer, nothing is known of the incarnation.
    void closingEndpointThatFailsTheCheckIsNotSentTheRequest()
    {
        closeAfterCheck();
        for (const std::string status : {"", "503 Busy"}) {
            const RawSocket client = connectCaller();
            const auto [endpoint, call] = startSeparatelyChecked(
                    status.empty() ? "no answer\r\n\r\n" : checkAnswer("", {}, status));
            expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), status);
            expectNothing(endpoint);
        }
    }

    // Endpoints close a connection now and then; a second one for each check would be wasted.
    void endpointThatClosesNoLongerIsCheckedOnOneConnection()
    {
        closeAfterCheck();
        const RawSocket first = connectCaller();
        {
            const auto [endpoint, call] =
                    startSeparatelyChecked(checkAnswer(std::to_string(startedMs)));
            endpoint.receiveUntil(headEnd);
        }
        expectResult(AttemptResult::Interrupted, m_listener.nextAttemptEnd(), "closed");
        const RawSocket second = connectCaller();
        expectAnswered(startChecked(checkAnswer(std::to_string(startedMs)), second));
    }

    // Each check failed, so such an endpoint got no streams.
    void checkAnswerThatEndsWithItsConnectionIsReadOnAnotherOne()
    {
        const std::string unframed = "HTTP/1.1 200 OK\r\n\r\n" + std::to_string(startedMs);
        {
            const RawSocket client = connectCaller();
            startChecked(unframed, client);
        }
        expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "unframed");
        const RawSocket client = connectCaller();
        auto [endpoint, call] = startSeparatelyChecked(unframed);
        call.close();
        expectAnswered(endpoint);
    }

    void checkedConnectionIsNotCheckedAgain()
    {
        const RawSocket first = connectCaller();
        const RawSocket endpoint = startChecked(checkAnswer(std::to_string(startedMs)), first);
        CPPUNIT_ASSERT(endpoint.receiveUntil(headEnd).starts_with("GET /a HTTP/1.1\r\n"));
        endpoint.send(answer);
        deliver(m_listener.nextAttemptEnd());
        const RawSocket second = connectCaller();
        start(m_listener.nextArrival().number, true);
        expectAnswered(endpoint);
    }

    void unreadableCheckAnswerIsNotSentTheRequest()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked("no answer\r\n\r\n", client);
        expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "unreadable");
        expectNothing(endpoint);
    }

    // The answer to the check was then taken for that to the request.
    void interimAnswerDoesNotEndTheCheck()
    {
        const RawSocket client = connectCaller();
        const RawSocket endpoint = startChecked("HTTP/1.1 103 Early Hints\r\n\r\n", client);
        expectNothing(endpoint);
        endpoint.send(checkAnswer(std::to_string(startedMs)));
        expectAnswered(endpoint);
    }

    void resetDuringTheCheckCountsAsNotSent()
    {
        for (const std::string part : {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1"}) {
            const RawSocket client = connectCaller();
            RawSocket endpoint = startChecked(part, client);
            endpoint.reset();
            expectResult(AttemptResult::NotSent, m_listener.nextAttemptEnd(), "reset");
        }
    }

    void requestWithoutACheckIsSentAtOnce()
    {
        const RawSocket client = connectCaller();
        start(m_listener.nextArrival().number, false);
        expectAnswered(m_endpoint.accept());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);
