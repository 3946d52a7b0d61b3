#include "tests/drivers/traffic_relay_fixture.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class Ending {
    Open,  ///< The connection stays open.
    Close, ///< The endpoint closes it.
    Reset, ///< The endpoint resets it after a pause.
};

/// The answer of the endpoint at which a stream is resumed after its second event.
struct NextAnswer
{
    std::string name;
    std::string bytes;
    Ending ending = Ending::Open;
    AttemptResult result = AttemptResult::Answered;
};

const std::string streamHead = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n\r\n";
const std::string begunStream = streamHead + "Seal: first\r\n" + chunkedField
        + "f\r\nid: 1\ndata: x\n\n\r\n" + "f\r\nid: 2\ndata: x\n\n\r\n";
const std::string third = "id: 3\ndata: x\n\n";

/// Answers that don't go on with the stream.
const std::vector<NextAnswer> otherAnswers{
        {"500", "HTTP/1.1 500 Bad\r\nId: r\r\nContent-Length: 3\r\n\r\nbad"},
        {"500 without length", "HTTP/1.1 500 Bad\r\nId: r\r\n\r\nbad", Ending::Close},
        {"500 without length, reset", "HTTP/1.1 500 Bad\r\nId: r\r\n\r\nbad", Ending::Reset,
         AttemptResult::Interrupted},
        {"500 that looks like a stream",
         "HTTP/1.1 500 Bad\r\nId: r\r\nContent-Type: text/event-stream\r\n"
         "Content-Length: 15\r\n\r\n"
                 + third},
        {"503", "HTTP/1.1 503 Full\r\nId: r\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
         Ending::Open, AttemptResult::Declined},
        {"503 that may have run", "HTTP/1.1 503 Full\r\nId: r\r\nContent-Length: 4\r\n\r\nbusy"},
        {"421", "HTTP/1.1 421 Other\r\nId: r\r\nContent-Length: 0\r\n\r\n", Ending::Open,
         AttemptResult::Misdirected},
        {"404", "HTTP/1.1 404 None\r\nId: r\r\nContent-Length: 4\r\n\r\nnone"},
        {"a whole other answer",
         "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: application/json\r\nContent-Length: "
         "2\r\n\r\n{}"},
        {"another answer without length",
         "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: application/json\r\n\r\n{}", Ending::Close},
        {"an empty answer", "HTTP/1.1 204 None\r\nId: r\r\n\r\n"},
        {"the answer to another request",
         "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad", Ending::Close,
         AttemptResult::Interrupted},
        {"a stream without length that is reset", streamHead + "\r\n", Ending::Reset,
         AttemptResult::Interrupted},
        {"a stream without length that ends inside an event", streamHead + "\r\nid: 3\nda",
         Ending::Close, AttemptResult::Interrupted},
        {"a stream with length that breaks off", streamHead + "Content-Length: 15\r\n\r\nid: 3\n",
         Ending::Close, AttemptResult::Interrupted},
        {"a chunked stream that breaks off", streamHead + chunkedField, Ending::Close,
         AttemptResult::Interrupted},
        {"a head in place of a chunk", streamHead + chunkedField + "HTTP/1.1 500 Bad\r\n\r\n",
         Ending::Open, AttemptResult::Interrupted}};

} // namespace

/// Checks that a caller sees one head and no false end if its stream breaks off and the next
/// endpoint does not simply go on with it.
class ResumedStreamTest : public TrafficRelayFixture
{
    CPPUNIT_TEST_SUITE(ResumedStreamTest);
    CPPUNIT_TEST(otherAnswerIsNotWrittenIntoABegunStream);
    CPPUNIT_TEST(streamGoesOnAfterOtherAnswers);
    CPPUNIT_TEST(breakWithinLaterEventsIsNoEnd);
    CPPUNIT_TEST(resumedStreamWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(headOfTheNextEndpointIsNotSeen);
    CPPUNIT_TEST(resumedStreamWithoutLengthOrEventsIsNoEnd);
    CPPUNIT_TEST(headInABodyWithoutLengthIsNotSeen);
    CPPUNIT_TEST(framedStreamMayContainAnything);
    CPPUNIT_TEST_SUITE_END();

    static void sendAll(RawSocket &endpoint, const NextAnswer &answer)
    {
        endpoint.send(answer.bytes);
        if (answer.ending == Ending::Close)
            endpoint.close();
        if (answer.ending != Ending::Reset)
            return;
        std::this_thread::sleep_for(milliseconds(10));
        endpoint.reset();
    }

    /// Starts a stream that breaks off after its second event.
    RequestNumber beginStream(const RawSocket &client, bool isReset)
    {
        const RequestNumber request = m_listener.nextArrival().number;
        startAttempt(request, true);
        RawSocket endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(begunStream);
        const std::string begin = client.receiveUntil("id: 2\ndata: x\n\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(begin, begin.starts_with("HTTP/1.1 200 OK\r\n"));
        if (isReset)
            endpoint.reset();
        else
            endpoint.close();
        expectResult(AttemptResult::Interrupted, m_listener.nextAttemptEnd(), "first endpoint");
        return request;
    }

    /// Resumes the stream at an endpoint that sends `answer`.
    AttemptEnd resume(RequestNumber request, const NextAnswer &answer, EventId after = 2)
    {
        startAttempt(request, true, after);
        RawSocket endpoint = m_endpoint.accept();
        const std::string head = endpoint.receiveUntil("\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(head, head.find("Resume: ") != std::string::npos);
        sendAll(endpoint, answer);
        const AttemptEnd end = m_listener.nextAttemptEnd();
        expectResult(answer.result, end, answer.name);
        return end;
    }

public:
    void otherAnswerIsNotWrittenIntoABegunStream()
    {
        for (const NextAnswer &answer : otherAnswers) {
            for (const bool isReset : {false, true}) {
                const RawSocket client = connectCaller();
                const AttemptEnd end = resume(beginStream(client, isReset), answer);
                if (end.result == AttemptResult::Answered)
                    deliver(end);
                else
                    refuse(end.request, ErrorKind::AnswerInterrupted);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, std::string(),
                                             client.receiveUntil("never"));
                CPPUNIT_ASSERT_MESSAGE(answer.name, client.isClosedWithin(milliseconds(0)));
            }
        }
    }

    void streamGoesOnAfterOtherAnswers()
    {
        for (const NextAnswer &answer : otherAnswers) {
            const RawSocket client = connectCaller();
            const RequestNumber request = beginStream(client, true);
            resume(request, answer);
            resume(request,
                   {"sound endpoint", streamHead + chunkedField + "f\r\n" + third + "\r\n0\r\n\r\n",
                    Ending::Open, AttemptResult::Streamed});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, "f\r\n" + third + "\r\n0\r\n\r\n",
                                         client.receiveUntil("0\r\n\r\n"));
        }
    }

    void breakWithinLaterEventsIsNoEnd()
    {
        const std::vector<NextAnswer> answers{
                {"reset", streamHead + "\r\n" + third, Ending::Reset, AttemptResult::Interrupted},
                {"close inside an event", streamHead + "\r\n" + third + "id: 4\nda", Ending::Close,
                 AttemptResult::Interrupted},
                {"close before the length", streamHead + "Content-Length: 30\r\n\r\n" + third,
                 Ending::Close, AttemptResult::Interrupted},
                {"close between chunks", streamHead + chunkedField + "f\r\n" + third + "\r\n",
                 Ending::Close, AttemptResult::Interrupted},
                {"close inside the last chunk",
                 streamHead + chunkedField + "f\r\n" + third + "\r\n0\r\n", Ending::Close,
                 AttemptResult::Interrupted}};
        for (const NextAnswer &answer : answers) {
            const RawSocket client = connectCaller();
            const AttemptEnd end = resume(beginStream(client, true), answer);
            CPPUNIT_ASSERT_MESSAGE(answer.name, end.lastEvent == EventId{3});
            refuse(end.request, ErrorKind::AnswerInterrupted);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, "f\r\n" + third + "\r\n",
                                         client.receiveUntil("never"));
        }
    }

    // The platform allows a body without length that ends with its connection.
    void resumedStreamWithoutLengthEndsWithItsConnection()
    {
        const RawSocket client = connectCaller();
        resume(beginStream(client, true),
               {"close after an event", streamHead + "\r\n" + third, Ending::Close,
                AttemptResult::Streamed});
        CPPUNIT_ASSERT_EQUAL("f\r\n" + third + "\r\n0\r\n\r\n", client.receiveUntil("0\r\n\r\n"));
    }

    void headOfTheNextEndpointIsNotSeen()
    {
        const RawSocket client = connectCaller();
        resume(beginStream(client, true),
               {"other head",
                "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 Fine\r\nId: r\r\nSeal: second\r\n"
                "Content-Type: text/event-stream; charset=utf-8\r\nContent-Length: 30\r\n\r\n"
                "id: 2\ndata: x\n\n"
                        + third,
                Ending::Open, AttemptResult::Streamed});
        CPPUNIT_ASSERT_EQUAL("f\r\n" + third + "\r\n0\r\n\r\n", client.receiveUntil("0\r\n\r\n"));
    }

    // The endpoint ended before it sent anything, as a new stream of that kind is judged as well.
    void resumedStreamWithoutLengthOrEventsIsNoEnd()
    {
        const RawSocket client = connectCaller();
        const AttemptEnd end = resume(beginStream(client, true),
                                      {"close after the head", streamHead + "\r\n", Ending::Close,
                                       AttemptResult::Interrupted});
        refuse(end.request, ErrorKind::AnswerInterrupted);
        CPPUNIT_ASSERT_EQUAL(std::string(), client.receiveUntil("never"));
    }

    // Servers whose handler fails may write a second response after the begun one.
    void headInABodyWithoutLengthIsNotSeen()
    {
        const RawSocket client = connectCaller();
        const AttemptEnd end =
                resume(beginStream(client, true),
                       {"head after an event",
                        streamHead + "\r\n" + third
                                + "HTTP/1.1 500 Bad\r\nId: r\r\nContent-Length: 0\r\n\r\n",
                        Ending::Close, AttemptResult::Interrupted});
        refuse(end.request, ErrorKind::AnswerInterrupted);
        CPPUNIT_ASSERT_EQUAL("f\r\n" + third + "\r\n", client.receiveUntil("never"));
    }

    // The length shows that the bytes are part of the body.
    void framedStreamMayContainAnything()
    {
        const RawSocket client = connectCaller();
        const std::string text = "HTTP/1.1 x\n\n";
        resume(beginStream(client, true),
               {"status line in a stream with length",
                streamHead + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text,
                Ending::Open, AttemptResult::Streamed});
        CPPUNIT_ASSERT_EQUAL("c\r\n" + text + "\r\n0\r\n\r\n", client.receiveUntil("0\r\n\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamTest);
