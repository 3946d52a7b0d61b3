#include "tests/drivers/traffic_relay_fixture.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Long enough for the relay to read what was sent before.
constexpr milliseconds readTime{5};
constexpr std::string_view ok = "HTTP/1.1 200 OK\r\nId: next\r\nContent-Length: 2\r\n\r\nok";
const std::vector<std::string> refusalLines{"429 Limited", "503 Full", "421 Other"};

std::string refusal(const std::string &statusLine, const std::string &fields = {})
{
    return "HTTP/1.1 " + statusLine + "\r\nId: first\r\nNot-Run: 1\r\n" + fields
            + "Content-Length: 4\r\n\r\nbusy";
}

/// Returns places in a refusal between which it may arrive in two parts: in the status line, in a
/// field's name, after a line, before the last line end, after the head, in the body.
std::vector<std::size_t> splitPoints(const std::string &text)
{
    const std::size_t headEnd = text.find("\r\n\r\n");
    return {9,           text.find("Not-Run") + 3, text.find("Not-Run"), headEnd + 3,
            headEnd + 4, text.size() - 2};
}

} // namespace

/// Checks that a refusal that an endpoint repeats on a kept connection answers no other request.
class RepeatedRefusalTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(RepeatedRefusalTest);
    CPPUNIT_TEST(repeatWithTheRefusalItselfIsNotRead);
    CPPUNIT_TEST(repeatBeforeTheNextRequestIsNotRead);
    CPPUNIT_TEST(repeatCrossingTheNextRequestIsNotItsAnswer);
    CPPUNIT_TEST(repeatAfterTheNextRequestIsNotItsAnswer);
    CPPUNIT_TEST(repeatInTwoPartsIsNotTheNextAnswer);
    CPPUNIT_TEST(repeatInPartsAroundTheNextRequestIsNotItsAnswer);
    CPPUNIT_TEST(repeatsAloneAreNoAnswer);
    CPPUNIT_TEST(repeatIsNoAnswerToAHeadRequest);
    CPPUNIT_TEST(repeatIsNotPartOfAStream);
    CPPUNIT_TEST(repeatDoesNotEndAStatusCheck);
    CPPUNIT_TEST(repeatedAnswerToAStatusCheckReachesNoRequest);
    CPPUNIT_TEST(repeatDoesNotCloseTheEndpointAgain);
    CPPUNIT_TEST(repeatTellsNothingAboutTheEndpoint);
    CPPUNIT_TEST(repeatIsNotTheAnswerToAMove);
    CPPUNIT_TEST(ownRepeatIsNotTheAnswerToAMove);
    CPPUNIT_TEST(endlessRepeatsEndAMove);
    CPPUNIT_TEST(repeatWithoutAnIdIsNotTheNextAnswer);
    CPPUNIT_TEST(repeatOfAnAnswerWithoutAnIdIsNotTheNextAnswer);
    CPPUNIT_TEST(refusedRequestIsSentAgainOnAnotherKeptConnection);
    CPPUNIT_TEST_SUITE_END();

    /// Lets the endpoint answer the request "first" with `answer`, and returns its connection.
    RawSocket refuseFirst(const std::string &answer)
    {
        const RawSocket client = connectCaller("GET /a HTTP/1.1\r\nId: first\r\n\r\n");
        RawSocket endpoint;
        const AttemptEnd end = runAttempt(endpoint, answer);
        CPPUNIT_ASSERT(end.result == AttemptResult::Declined
                       || end.result == AttemptResult::Misdirected);
        refuse(end.request, ErrorKind::Overloaded);
        client.receiveUntil("}");
        return endpoint;
    }

    RawSocket connectNext(const std::string &method = "POST")
    {
        return connectCaller(method + " /b HTTP/1.1\r\nId: next\r\n\r\n");
    }
    void startNext(bool isStream = false)
    {
        startAttempt(m_listener.nextArrival().number, isStream);
    }

    /// Waits until the next request is on `kept` or on a new connection, which then replaces it.
    void awaitRequest(RawSocket &kept)
    {
        for (int round = 0; round < 100; ++round) {
            RawSocket connection = m_endpoint.accept(milliseconds(0));
            if (connection.isOpen())
                kept = std::move(connection);
            if (!kept.receiveUntil("\r\n\r\n", readTime).empty())
                return;
            std::this_thread::sleep_for(milliseconds(1));
        }
        CPPUNIT_FAIL("no request arrived");
    }

    /// Checks that the next caller gets the answer to its own request and nothing else.
    void expectOwnAnswer(const RawSocket &client, const std::string &what)
    {
        const AttemptEnd end = m_listener.nextAttemptEnd();
        expectResult(AttemptResult::Answered, end, what);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, end.status);
        deliver(end);
        const std::string answer = client.receiveUntil("ok");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 OK\r\nId: next\r\n"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\nok"));
    }

    /// Sends `first`, then `second` after a pause, as the answer to the next request.
    void playAfterRequest(const std::string &statusLine, const std::string &first,
                          const std::string &second)
    {
        RawSocket endpoint = refuseFirst(refusal(statusLine));
        const RawSocket client = connectNext();
        startNext();
        awaitRequest(endpoint);
        endpoint.send(first);
        std::this_thread::sleep_for(readTime);
        endpoint.send(second + std::string(ok));
        expectOwnAnswer(client, statusLine + " after " + first);
    }

public:
    void repeatWithTheRefusalItselfIsNotRead()
    {
        for (const std::string &line : refusalLines) {
            const std::string text = refusal(line);
            for (const std::size_t length : {std::size_t{1}, text.size() / 2, text.size()}) {
                RawSocket endpoint = refuseFirst(text + text.substr(0, length));
                CPPUNIT_ASSERT_MESSAGE(line, endpoint.isClosedWithin(seconds(1)));
                const RawSocket client = connectNext();
                startNext();
                endpoint = m_endpoint.accept();
                endpoint.receiveUntil("\r\n\r\n");
                endpoint.send(ok);
                expectOwnAnswer(client, line);
            }
        }
    }

    void repeatBeforeTheNextRequestIsNotRead()
    {
        for (const std::string &line : refusalLines) {
            RawSocket endpoint = refuseFirst(refusal(line));
            endpoint.send(refusal(line));
            CPPUNIT_ASSERT_MESSAGE(line, endpoint.isClosedWithin(seconds(1)));
            const RawSocket client = connectNext();
            startNext();
            endpoint = m_endpoint.accept();
            endpoint.receiveUntil("\r\n\r\n");
            endpoint.send(ok);
            expectOwnAnswer(client, line);
        }
    }

    // The relay may or may not have noticed the repeat when it chooses the connection.
    void repeatCrossingTheNextRequestIsNotItsAnswer()
    {
        for (int round = 0; round < 30; ++round) {
            const std::string &line = refusalLines.at(round % refusalLines.size());
            RawSocket endpoint = refuseFirst(refusal(line));
            const RawSocket client = connectNext();
            const RequestNumber request = m_listener.nextArrival().number;
            std::jthread sender([&] { endpoint.send(refusal(line)); });
            startAttempt(request);
            sender.join();
            awaitRequest(endpoint);
            endpoint.send(ok);
            expectOwnAnswer(client, line);
        }
    }

    void repeatAfterTheNextRequestIsNotItsAnswer()
    {
        for (const std::string &line : refusalLines) {
            playAfterRequest(line, refusal(line), {});
            playAfterRequest(line, {}, refusal(line));
            playAfterRequest(line, refusal(line), refusal(line));
        }
    }

    void repeatInTwoPartsIsNotTheNextAnswer()
    {
        for (const std::string &line : refusalLines) {
            const std::string text = refusal(line);
            for (const std::size_t split : splitPoints(text))
                playAfterRequest(line, text.substr(0, split), text.substr(split));
        }
    }

    void repeatInPartsAroundTheNextRequestIsNotItsAnswer()
    {
        for (const std::string &line : refusalLines) {
            const std::string text = refusal(line);
            for (const std::size_t split : splitPoints(text)) {
                RawSocket endpoint = refuseFirst(text);
                endpoint.send(text.substr(0, split));
                const RawSocket client = connectNext();
                startNext();
                endpoint.send(text.substr(split));
                RawSocket fresh = m_endpoint.accept();
                fresh.receiveUntil("\r\n\r\n");
                fresh.send(ok);
                expectOwnAnswer(client, line);
            }
        }
    }

    // The request may have run, so the end must not say otherwise.
    void repeatsAloneAreNoAnswer()
    {
        for (const std::string &line : refusalLines) {
            for (const bool closes : {false, true}) {
                RawSocket endpoint = refuseFirst(refusal(line));
                const RawSocket client = connectNext();
                startNext();
                awaitRequest(endpoint);
                endpoint.send(refusal(line, closes ? "Connection: close\r\n" : ""));
                endpoint.close();
                const AttemptEnd end = m_listener.nextAttemptEnd();
                expectResult(AttemptResult::Interrupted, end, line);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 0, end.status);
                refuse(end.request, ErrorKind::Overloaded);
            }
        }
    }

    // The body of the repeat is read as the next answer, which then is not valid.
    void repeatIsNoAnswerToAHeadRequest()
    {
        for (const std::string &line : refusalLines) {
            RawSocket endpoint = refuseFirst(refusal(line));
            const RawSocket client = connectNext("HEAD");
            startNext();
            awaitRequest(endpoint);
            endpoint.send(refusal(line) + "HTTP/1.1 200 OK\r\nId: next\r\n\r\n");
            const AttemptEnd end = m_listener.nextAttemptEnd();
            expectResult(AttemptResult::Interrupted, end, line);
            refuse(end.request, ErrorKind::Overloaded);
        }
    }

    void repeatIsNotPartOfAStream()
    {
        for (const std::string &line : refusalLines) {
            RawSocket endpoint = refuseFirst(refusal(line));
            const RawSocket client = connectNext();
            startNext(true);
            awaitRequest(endpoint);
            endpoint.send(refusal(line)
                          + "HTTP/1.1 200 OK\r\nId: next\r\nContent-Type: text/event-stream\r\n"
                            "Content-Length: 7\r\n\r\nid: 1\n\n");
            const AttemptEnd end = m_listener.nextAttemptEnd();
            expectResult(AttemptResult::Streamed, end, line);
            const std::string answer = client.receiveUntil("0\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 OK\r\n"));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("busy") == std::string::npos);
        }
    }

    void checkEndpoint(milliseconds timeout)
    {
        m_thread->runAndWait([&] {
            m_traffic->checkEndpoint({.endpoint = EndpointId("e"),
                                      .address = m_endpoint.address(),
                                      .deadline = m_thread->loop().now() + timeout});
        });
    }

    // A silent endpoint must not count as responsive because of what it sent before.
    void repeatDoesNotEndAStatusCheck()
    {
        for (const std::string &line : refusalLines) {
            const RawSocket endpoint = refuseFirst(refusal(line));
            checkEndpoint(milliseconds(100));
            const RawSocket call = m_endpoint.accept();
            CPPUNIT_ASSERT(call.isOpen());
            endpoint.send(refusal(line));
            CPPUNIT_ASSERT_MESSAGE(line, !m_listener.nextCheckEnd().isResponsive);
        }
    }

    // These answers have no id by which they could be told from those to requests.
    void repeatedAnswerToAStatusCheckReachesNoRequest()
    {
        for (const std::string &line : refusalLines) {
            const std::string text =
                    "HTTP/1.1 " + line + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            checkEndpoint(seconds(2));
            const RawSocket call = m_endpoint.accept();
            call.receiveUntil("\r\n\r\n");
            call.send(text);
            CPPUNIT_ASSERT(m_listener.nextCheckEnd().isResponsive);
            call.send(text);
            const RawSocket client = connectNext();
            startNext();
            const RawSocket endpoint = m_endpoint.accept();
            endpoint.receiveUntil("\r\n\r\n");
            call.send(text);
            endpoint.send(ok);
            expectOwnAnswer(client, line);
        }
    }

    // The time that the refusal names began when it was sent first, and this request was not
    // declined.
    void repeatDoesNotCloseTheEndpointAgain()
    {
        RawSocket endpoint = refuseFirst(refusal("503 Full", "Closed-For-2s: 1\r\n"));
        const RawSocket client = connectNext();
        startNext();
        awaitRequest(endpoint);
        endpoint.send(refusal("503 Full", "Closed-For-2s: 1\r\n"));
        endpoint.close();
        const AttemptEnd end = m_listener.nextAttemptEnd();
        expectResult(AttemptResult::Interrupted, end, "next");
        CPPUNIT_ASSERT(!end.closedUntil);
    }

    void repeatTellsNothingAboutTheEndpoint()
    {
        for (const std::string field : {"Leaving", "Two-Per-Second", "Bad-Limit"}) {
            playAfterRequest("503 Full", refusal("503 Full", field + ": 1\r\n"), {});
            CPPUNIT_ASSERT_MESSAGE(field, !m_listener.hasEndpointNotices());
        }
    }

    void moveRun(RequestNumber request, AttemptNumber attempt)
    {
        m_thread->runAndWait([&] {
            m_traffic->moveRun({.request = request,
                                .attempt = attempt,
                                .source = EndpointId("e"),
                                .sourceAddress = m_endpoint.address(),
                                .targetAddress = "127.0.0.1:1",
                                .deadline = m_thread->loop().now() + seconds(2)});
        });
    }

    // The call may use the kept connection, and its answer has no id.
    void repeatIsNotTheAnswerToAMove()
    {
        for (const std::string &line : refusalLines) {
            const RawSocket client = connectNext();
            const RequestNumber request = m_listener.nextArrival().number;
            const AttemptNumber attempt = startAttempt(request, true);
            const RawSocket run = m_endpoint.accept();
            run.receiveUntil("\r\n\r\n");
            RawSocket endpoint = refuseFirst(refusal(line));
            moveRun(request, attempt);
            const RawSocket call = m_endpoint.accept(milliseconds(100));
            if (!call.isOpen())
                endpoint.receiveUntil("\r\n\r\n");
            endpoint.send(refusal(line));
            std::this_thread::sleep_for(readTime);
            (call.isOpen() ? call : endpoint)
                    .send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
            const RunMoveEnd end = m_listener.nextMoveEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line + ": " + end.handle, std::string("h1"), end.handle);
            CPPUNIT_ASSERT_MESSAGE(line, end.result == RunMoveResult::Moved);
            refuse(request, ErrorKind::Internal);
        }
    }

    // The endpoint that refused the request runs it now. The repeat has the id of the run.
    void ownRepeatIsNotTheAnswerToAMove()
    {
        const RawSocket client = connectNext();
        const RequestNumber request = m_listener.nextArrival().number;
        startAttempt(request, true);
        const RawSocket refusing = m_endpoint.accept();
        refusing.receiveUntil("\r\n\r\n");
        const std::string text =
                "HTTP/1.1 503 Full\r\nId: next\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        refusing.send(text);
        expectResult(AttemptResult::Declined, m_listener.nextAttemptEnd(), "first attempt");
        const AttemptNumber attempt = startAttempt(request, true);
        const RawSocket run = m_endpoint.accept();
        run.receiveUntil("\r\n\r\n");
        moveRun(request, attempt);
        const RawSocket call = m_endpoint.accept(milliseconds(100));
        CPPUNIT_ASSERT(call.isOpen());
        refusing.send(text);
        call.receiveUntil("\r\n\r\n");
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
        CPPUNIT_ASSERT(m_listener.nextMoveEnd().result == RunMoveResult::Moved);
    }

    void endlessRepeatsEndAMove()
    {
        const RawSocket client = connectNext();
        const RequestNumber request = m_listener.nextArrival().number;
        const AttemptNumber attempt = startAttempt(request, true);
        const RawSocket run = m_endpoint.accept();
        run.receiveUntil("\r\n\r\n");
        const RawSocket endpoint = refuseFirst(refusal("503 Full"));
        moveRun(request, attempt);
        endpoint.receiveUntil("\r\n\r\n");
        for (int sent = 0; sent < 17; ++sent)
            endpoint.send(refusal("503 Full"));
        const RunMoveEnd end = m_listener.nextMoveEnd();
        CPPUNIT_ASSERT(end.result == RunMoveResult::Failed);
        CPPUNIT_ASSERT_EQUAL(std::string("too many responses to other requests"), end.reason);
    }

    // Endpoints refuse requests without an id, and their refusals have none either.
    void repeatWithoutAnIdIsNotTheNextAnswer()
    {
        for (const std::string line : {"400 No id", "429 Limited", "503 Full"}) {
            const std::string text =
                    "HTTP/1.1 " + line + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            const RawSocket first = connectCaller("GET /a HTTP/1.1\r\n\r\n");
            RawSocket endpoint;
            const AttemptEnd end = runAttempt(endpoint, text);
            expectResult(AttemptResult::Declined, end, line);
            refuse(end.request, ErrorKind::Overloaded);
            const RawSocket client = connectNext();
            startNext();
            const RawSocket fresh = m_endpoint.accept(milliseconds(100));
            if (!fresh.isOpen())
                endpoint.receiveUntil("\r\n\r\n");
            endpoint.send(text);
            std::this_thread::sleep_for(readTime);
            (fresh.isOpen() ? fresh : endpoint).send(ok);
            expectOwnAnswer(client, line);
        }
    }

    // Only refusals without an id closed their connection. The repeat of another answer without one
    // was passed on to the next caller.
    void repeatOfAnAnswerWithoutAnIdIsNotTheNextAnswer()
    {
        for (const std::string line : {"200 OK", "404 None", "500 Bad"}) {
            const std::string text = "HTTP/1.1 " + line + "\r\nContent-Length: 3\r\n\r\nold";
            const RawSocket first = connectCaller("GET /a HTTP/1.1\r\nId: first\r\n\r\n");
            RawSocket endpoint;
            const AttemptEnd end = runAttempt(endpoint, text);
            expectResult(AttemptResult::Answered, end, line);
            deliver(end);
            first.receiveUntil("old");
            const RawSocket client = connectNext();
            startNext();
            const RawSocket fresh = m_endpoint.accept(milliseconds(100));
            if (!fresh.isOpen())
                endpoint.receiveUntil("\r\n\r\n");
            endpoint.send(text);
            std::this_thread::sleep_for(readTime);
            (fresh.isOpen() ? fresh : endpoint).send(ok);
            expectOwnAnswer(client, line);
        }
    }

    // The connection of the refusal was used last. No new one is opened while another is idle.
    void refusedRequestIsSentAgainOnAnotherKeptConnection()
    {
        const RawSocket other = connectNext();
        startNext();
        const RawSocket spare = m_endpoint.accept();
        spare.receiveUntil("\r\n\r\n");
        const RawSocket client = connectCaller("GET /a HTTP/1.1\r\nId: first\r\n\r\n");
        const RequestNumber request = m_listener.nextArrival().number;
        startAttempt(request);
        const RawSocket refusing = m_endpoint.accept();
        refusing.receiveUntil("\r\n\r\n");
        spare.send(ok);
        expectOwnAnswer(other, "the spare connection");
        refusing.send(refusal("503 Full"));
        expectResult(AttemptResult::Declined, m_listener.nextAttemptEnd(), "first attempt");
        startAttempt(request);
        const std::string head = spare.receiveUntil("\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(head, head.find("Id: first\r\n") != std::string::npos);
        spare.send("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n\r\n");
        const AttemptEnd end = m_listener.nextAttemptEnd();
        expectResult(AttemptResult::Answered, end, "second attempt");
        CPPUNIT_ASSERT(end.connectionReused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalTest);
