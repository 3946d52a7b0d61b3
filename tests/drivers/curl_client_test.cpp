#include "drivers/http/curl_client.h"
#include "tests/support/loop_thread.h"
#include "tests/support/raw_socket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Much less than the deadline of a call.
constexpr milliseconds immediately{500};
constexpr int serverReceiveBytes = 16 * 1024;
/// More than the sockets of both sides hold together.
constexpr std::size_t uploadBytes = 4'000'000;

const std::vector<std::string> brokenHeads{"HTTP/1.1 200",
                                           "HTTP/1.1 200 O",
                                           "HTTP/1.1 200 OK\r\n",
                                           "HTTP/1.1 200 OK\r\nContent-Le",
                                           "HTTP/1.1 200 OK\r\nServer: x\r\n",
                                           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                                           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"};

} // namespace

/// Checks which responses complete the calls to the platform.
class CurlClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CurlClientTest);
    CPPUNIT_TEST(closeInAHeadIsNoAnswer);
    CPPUNIT_TEST(resetInAHeadIsNoAnswer);
    CPPUNIT_TEST(closeAfterAnInterimResponseIsNoAnswer);
    CPPUNIT_TEST(wholeHeadIsAnAnswer);
    CPPUNIT_TEST(numberThatIsNoStatusIsNoAnswer);
    CPPUNIT_TEST(partOfAnAnswerDuringAnUploadIsNoAnswer);
    CPPUNIT_TEST(answerWithoutEndIsGivenUp);
    CPPUNIT_TEST_SUITE_END();

    RawListener m_server;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<CurlClient> m_client;

    std::future<HttpResult> startCall(bool hasFreshConnection = true, std::string body = "{}")
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        m_thread->runAndWait([&] {
            const Instant now = m_thread->loop().now();
            m_client->start({.method = "POST",
                             .url = "http://" + m_server.address() + "/a",
                             .body = std::move(body),
                             .freshConnection = hasFreshConnection,
                             .sendDeadline = now + seconds(2),
                             .deadline = now + seconds(2),
                             .onDone = [promise](HttpResult result) {
                                 promise->set_value(std::move(result));
                             }});
        });
        return promise->get_future();
    }

    void expectNoAnswer(bool isReset)
    {
        std::string faults;
        for (const std::string &head : brokenHeads) {
            auto call = startCall();
            RawSocket connection = m_server.accept();
            connection.receiveUntil("{}");
            connection.send(head);
            std::this_thread::sleep_for(milliseconds(5));
            isReset ? connection.reset() : connection.close();
            const HttpResult result = call.get();
            if (result.kind != HttpResult::Kind::Interrupted)
                faults += "\n" + std::to_string(result.status) + " after \"" + head + "\"";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

public:
    void setUp() override
    {
        m_thread = std::make_unique<LoopThread>();
        m_thread->runAndWait([this] { m_client = std::make_unique<CurlClient>(m_thread->loop()); });
    }
    void tearDown() override
    {
        m_thread->runAndWait([this] { m_client.reset(); });
        m_thread.reset();
    }

    void closeInAHeadIsNoAnswer() { expectNoAnswer(false); }
    void resetInAHeadIsNoAnswer() { expectNoAnswer(true); }

    // After an interim response, and with or without a body that says where it ends.
    // libcurl would keep all header lines, and all bytes of a body until the deadline.
    void answerWithoutEndIsGivenUp()
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::pair<std::string, std::string>> floods{
                {"HTTP/1.1 200 OK\r\n", "X-Line: some value\r\n"},
                {"HTTP/1.1 200 OK\r\nX-Line: ", "some value "},
                {chunked + "2\r\nok\r\n0\r\n", "X-Trailer: some value\r\n"},
                {chunked, "8\r\nabcdefgh\r\n"},
                {"HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"}};
        constexpr std::size_t maxSentBytes = 64UL * 1024 * 1024;
        for (const auto &[opening, line] : floods) {
            auto call = startCall();
            const RawSocket connection = m_server.accept();
            connection.receiveUntil("{}");
            std::string block;
            while (block.size() < 64UL * 1024)
                block += line;
            bool isOpen = connection.send(opening);
            std::size_t sent = 0;
            for (; isOpen && sent < maxSentBytes; sent += block.size())
                isOpen = connection.send(block);
            CPPUNIT_ASSERT_MESSAGE(opening + line, !isOpen);
            CPPUNIT_ASSERT(call.get().kind == HttpResult::Kind::Interrupted);
        }
    }

    void wholeHeadIsAnAnswer()
    {
        for (const std::string text :
             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n\r\nok",
              "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
              "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}) {
            auto call = startCall();
            RawSocket connection = m_server.accept();
            connection.receiveUntil("{}");
            connection.send(text);
            connection.close();
            const HttpResult result = call.get();
            CPPUNIT_ASSERT_MESSAGE(text + result.error, result.kind == HttpResult::Kind::Answered);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 200, result.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("ok"), result.body);
        }
    }

    void partOfAnAnswerDuringAnUploadIsNoAnswer()
    {
        m_server.setReceiveBufferBytes(serverReceiveBytes);
        std::string faults;
        for (const std::string ending : {"reset", "reset later", "end", "end, reset later"}) {
            auto call = startCall(true, std::string(uploadBytes, 'q'));
            RawSocket connection = m_server.accept();
            connection.receiveUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\n\r\npart");
            if (ending.starts_with("end"))
                connection.endSending();
            if (ending != "reset")
                std::this_thread::sleep_for(milliseconds(50));
            if (ending != "end")
                connection.reset();
            if (call.get().kind != HttpResult::Kind::Interrupted)
                faults += "\nanswered after " + ending;
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    void numberThatIsNoStatusIsNoAnswer()
    {
        std::string faults;
        for (const std::string status : {"000", "001", "020", "099", "600", "999", "20", "2000"}) {
            for (const std::string rest :
                 {"Content-Length: 2\r\n\r\n{}", "Content-Length: 5\r\n\r\n{}",
                  "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "\r\n{}"}) {
                auto call = startCall(false);
                const RawSocket connection = m_server.accept();
                CPPUNIT_ASSERT_MESSAGE("connection used again for " + status, connection.isOpen());
                connection.receiveUntil("{}");
                connection.send("HTTP/1.1 " + std::string(status) + " Odd\r\n" + rest);
                if (call.wait_for(immediately) != std::future_status::ready)
                    faults += "\nwaited after " + std::string(status) + ", " + rest;
                const HttpResult result = call.get();
                if (result.kind != HttpResult::Kind::Interrupted)
                    faults += "\nanswered " + std::to_string(result.status) + " after "
                            + std::string(status) + ", " + rest;
                else if (!connection.isClosedWithin(immediately))
                    faults += "\nconnection kept after " + std::string(status) + ", " + rest;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    // Only the head of the interim response is complete.
    void closeAfterAnInterimResponseIsNoAnswer()
    {
        for (const std::string rest : {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"}) {
            auto call = startCall();
            RawSocket connection = m_server.accept();
            connection.receiveUntil("{}");
            connection.send("HTTP/1.1 102 Wait\r\n\r\n" + rest);
            connection.close();
            CPPUNIT_ASSERT_MESSAGE(rest, call.get().kind == HttpResult::Kind::Interrupted);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CurlClientTest);
