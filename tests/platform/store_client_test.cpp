#include "core/store_error.h"
#include "drivers/time/system_clock.h"
#include "platform/store_client.h"
#include "tests/servers/recording_metrics.h"
#include "tests/support/loop_thread.h"
#include "tests/support/raw_socket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <thread>

using namespace monsoonsail;
using namespace monsoonsail::platform;
using namespace std::string_literals;
using std::chrono::milliseconds;

namespace {

struct ReadResult
{
    std::error_code error;
    LogRecords records;
};

struct AppendResult
{
    std::error_code error;
    LogOffset offset = 0;
};

std::string response(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
}

} // namespace

/// Checks calls to the platform's store. The test sends each response as the store.
class StoreClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(recordsAreRead);
    CPPUNIT_TEST(expiredReadReturnsTheFirstOffset);
    CPPUNIT_TEST(newestRecordsAreReadPageByPage);
    CPPUNIT_TEST(keysAreEscapedInUrls);
    CPPUNIT_TEST(malformedResponsesAreErrors);
    CPPUNIT_TEST(errorStatusesAreMapped);
    CPPUNIT_TEST(conditionalAppendConflicts);
    CPPUNIT_TEST(silentStoreIsUnreachable);
    CPPUNIT_TEST_SUITE_END();

    RawListener m_store;
    SystemClock m_clock;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<CurlClient> m_http;
    RecordingMetrics m_metrics;
    std::unique_ptr<StoreClient> m_client;
    std::string m_request; ///< The last request that the store received.

    /// Sends `bytes` as the response to the next call; accepts a connection unless one is open.
    void respond(RawSocket &connection, const std::string &bytes)
    {
        if (!connection.isOpen())
            connection = m_store.accept();
        m_request = connection.receiveUntil("\r\n\r\n");
        connection.send(bytes);
    }
    std::future<ReadResult> startRead(Duration wait = Duration::zero())
    {
        auto promise = std::make_shared<std::promise<ReadResult>>();
        m_thread->runAndWait([&] {
            m_client->read("keyed.t", 5, m_clock.now() + wait,
                           [promise](std::error_code error, const LogRecords &records) {
                               promise->set_value({error, records});
                           });
        });
        return promise->get_future();
    }
    std::future<ReadResult> startReadNewest()
    {
        auto promise = std::make_shared<std::promise<ReadResult>>();
        m_thread->runAndWait([&] {
            m_client->readNewest("keyed.t",
                                 [promise](std::error_code error, const LogRecords &records) {
                                     promise->set_value({error, records});
                                 });
        });
        return promise->get_future();
    }
    ReadResult readWithResponse(const std::string &bytes)
    {
        auto result = startRead();
        RawSocket connection;
        respond(connection, bytes);
        return result.get();
    }

public:
    void setUp() override
    {
        m_thread = std::make_unique<LoopThread>();
        m_thread->runAndWait([&] {
            m_http = std::make_unique<CurlClient>(m_thread->loop());
            m_client =
                    std::make_unique<StoreClient>(*m_http, m_clock, m_store.address(), m_metrics);
        });
    }

    void tearDown() override
    {
        m_thread->runAndWait([&] {
            m_client.reset();
            m_http.reset();
        });
        m_thread.reset();
    }

    void recordsAreRead()
    {
        const std::string body = "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02"s + "\0\0\0\x03\x01kv"s;
        const ReadResult result = readWithResponse(response("200 OK", body));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error.message(), 0, result.error.value());
        CPPUNIT_ASSERT(m_request.starts_with("GET /log-read?Topic=keyed.t&part=0&Source=5"));
        CPPUNIT_ASSERT_EQUAL(LogOffset(6), result.records.end);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), result.records.records.at(0).key);
    }

    void expiredReadReturnsTheFirstOffset()
    {
        const ReadResult result = readWithResponse(response("410 Gone", R"({"First": 77})"));
        CPPUNIT_ASSERT(result.error == StoreError::Expired);
        CPPUNIT_ASSERT_EQUAL(LogOffset(77), result.records.first);
    }

    void newestRecordsAreReadPageByPage()
    {
        auto pending = startReadNewest();
        RawSocket connection;
        respond(connection, response("200 OK", R"({"Items": [{"Key": "a", "Value": "MQ==",
                "Offset": 3}], "HasMore": true, "EndOffset": 9})"));
        respond(connection, response("200 OK", R"({"Items": [{"Key": "b", "Value": "Mg==",
                "Offset": 11}], "HasMore": false, "EndOffset": 12})"));
        CPPUNIT_ASSERT(m_request.find("After=a") != std::string::npos);
        const ReadResult result = pending.get();
        CPPUNIT_ASSERT_EQUAL(0, result.error.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), result.records.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), result.records.records[1].value);
        // A read from the end of the first page includes changes made between the pages.
        CPPUNIT_ASSERT_EQUAL(LogOffset(9), result.records.end);
    }

    void keysAreEscapedInUrls()
    {
        auto pending = startReadNewest();
        RawSocket connection;
        respond(connection, response("200 OK", R"({"Items": [{"Key": "a&b c", "Value": ""}],
                "HasMore": true, "EndOffset": 9})"));
        respond(connection, response("200 OK", R"({"Items": [], "EndOffset": 9})"));
        CPPUNIT_ASSERT(m_request.find("After=a%26b%20c ") != std::string::npos);
        pending.get();
    }

    void malformedResponsesAreErrors()
    {
        CPPUNIT_ASSERT(readWithResponse(response("200 OK", "short")).error
                       == StoreError::Malformed);
        auto pending = startReadNewest();
        RawSocket connection;
        respond(connection, response("200 OK", R"({"Items": [{"Key": "a", "Value": "%%"}],
                "EndOffset": 9})"));
        CPPUNIT_ASSERT(pending.get().error == StoreError::Malformed);
    }

    void errorStatusesAreMapped()
    {
        CPPUNIT_ASSERT(readWithResponse(response("429 Too Many", "")).error == StoreError::Busy);
        CPPUNIT_ASSERT(readWithResponse(response("503 Unavailable", "")).error == StoreError::Busy);
        CPPUNIT_ASSERT(readWithResponse(response("403 Forbidden", "")).error
                       == StoreError::Rejected);
    }

    void conditionalAppendConflicts()
    {
        auto promise = std::make_shared<std::promise<AppendResult>>();
        m_thread->runAndWait([&] {
            m_client->append("keyed.t", "k", "v", LogOffset(4),
                             [promise](std::error_code error, LogOffset offset) {
                                 promise->set_value({error, offset});
                             });
        });
        RawSocket connection;
        respond(connection, response("412 Precondition Failed", R"({"EndOffset": 8})"));
        const AppendResult result = promise->get_future().get();
        CPPUNIT_ASSERT(m_request.find("At=4") != std::string::npos);
        CPPUNIT_ASSERT(result.error == StoreError::Conflict);
        CPPUNIT_ASSERT_EQUAL(LogOffset(8), result.offset);
    }

    void silentStoreIsUnreachable()
    {
        auto pending = startRead(milliseconds(100));
        const RawSocket connection = m_store.accept();
        // Covers the requested wait of 100 ms and the response timeout of the client.
        CPPUNIT_ASSERT(pending.wait_for(std::chrono::seconds(3)) == std::future_status::ready);
        CPPUNIT_ASSERT(pending.get().error == StoreError::Unreachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
