#include "platform/http_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using namespace monsoonsail::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks how header fields of callers and endpoints are translated, and which ones are forwarded.
class HttpCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpCodecTest);
    CPPUNIT_TEST(requestIsParsed);
    CPPUNIT_TEST(invalidFieldsAreIgnored);
    CPPUNIT_TEST(longestAndPastDeadlinesAreNoOverflow);
    CPPUNIT_TEST(promptPartsEndAtTheFirstInvalidOne);
    CPPUNIT_TEST(requestWithoutOneHostIsMalformed);
    CPPUNIT_TEST(reservedAndHopByHopFieldsAreNotForwarded);
    CPPUNIT_TEST(attemptFieldsAreWritten);
    CPPUNIT_TEST(pastDeadlineIsForwardedAsPositive);
    CPPUNIT_TEST(responseTraitsAreParsed);
    CPPUNIT_TEST(leavingAndRetryAfterAreParsed);
    CPPUNIT_TEST(requestLimitIsParsed);
    CPPUNIT_TEST(moveResponsesAreParsed);
    CPPUNIT_TEST(moveOfARunWhoseIdIsNotUtf8IsWritten);
    CPPUNIT_TEST(statusCheckNeedsNoSlot);
    CPPUNIT_TEST_SUITE_END();

    HttpCodec m_codec;
    RequestHead m_head{.method = "POST", .target = "/review/7?x=1"};
    RequestArrival m_arrival;
    const Instant m_now = instantFromMicroseconds(5'000'000);

    void parseHead()
    {
        m_arrival = RequestArrival();
        m_arrival.arrivedAt = m_now;
        CPPUNIT_ASSERT(m_codec.parseRequest(m_head, m_arrival) == ErrorKind::None);
    }
    std::string forwardedHead(const AttemptStart &attempt, std::size_t bodyBytes = 0) const
    {
        std::string output;
        m_codec.writeForwardedHead(m_head, attempt, bodyBytes, m_now, output);
        CPPUNIT_ASSERT(output.ends_with("\r\n\r\n"));
        return output;
    }
    static bool contains(const std::string &text, const std::string &part)
    {
        return text.find(part) != std::string::npos;
    }
    RunMoveEnd parseMoveResponse(int status, std::string_view body) const
    {
        RunMoveEnd end;
        m_codec.parseMoveResponse(status, body, end);
        return end;
    }

public:
    void setUp() override { m_head.fields.add("Host", "club.example:8080"); }

    void requestIsParsed()
    {
        m_head.fields.add("X-Attempt-Id", "a-1");
        m_head.fields.add("authorization", "Token secret");
        m_head.fields.add("X-Deadline-Ms", "1500");
        m_head.fields.add("X-Model", "m1");
        m_head.fields.add("X-Token-Counts", "120,40");
        m_head.fields.add("X-Length-Hint", "30");
        m_head.fields.add("X-Prompt-Prefix", "ff:100,0a:20");
        m_head.fields.add("Last-Event-Id", "6");
        parseHead();
        CPPUNIT_ASSERT_EQUAL(std::string("a-1"), m_arrival.callerId);
        CPPUNIT_ASSERT_EQUAL(std::string("club.example"), m_arrival.host);
        CPPUNIT_ASSERT_EQUAL(std::string("/review/7"), m_arrival.path);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), m_arrival.apiKey);
        CPPUNIT_ASSERT(m_arrival.callerDeadline == m_now + milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(120U, unsigned(m_arrival.promptTokens.value()));
        CPPUNIT_ASSERT_EQUAL(40U, unsigned(m_arrival.maxOutputTokens));
        CPPUNIT_ASSERT_EQUAL(30U, unsigned(m_arrival.expectedOutputTokens));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_arrival.promptParts.size());
        CPPUNIT_ASSERT(m_arrival.promptParts[0].id == 0xff);
        CPPUNIT_ASSERT_EQUAL(20U, unsigned(m_arrival.promptParts[1].tokens));
        CPPUNIT_ASSERT(m_arrival.resumeAfter == EventId(6));
    }

    void invalidFieldsAreIgnored()
    {
        m_head.fields.add("Authorization", "Basic secret");
        m_head.fields.add("X-Deadline-Ms", "soon");
        m_head.fields.add("X-Token-Counts", "120");
        m_head.fields.add("Last-Event-Id", "-1");
        parseHead();
        CPPUNIT_ASSERT(m_arrival.apiKey.empty());
        CPPUNIT_ASSERT(!m_arrival.callerDeadline);
        CPPUNIT_ASSERT(!m_arrival.promptTokens);
        CPPUNIT_ASSERT(!m_arrival.resumeAfter);
    }

    void longestAndPastDeadlinesAreNoOverflow()
    {
        for (const char *remaining : {"9223372036854775807", "9223372036854776"}) {
            m_head.fields = {};
            m_head.fields.add("Host", "club.example");
            m_head.fields.add("X-Deadline-Ms", remaining);
            parseHead();
            CPPUNIT_ASSERT(m_arrival.callerDeadline > m_now + std::chrono::hours(24));
        }
        for (const char *remaining : {"-1", "-9223372036854775808", "-9223372036854776"}) {
            m_head.fields = {};
            m_head.fields.add("Host", "club.example");
            m_head.fields.add("X-Deadline-Ms", remaining);
            parseHead();
            CPPUNIT_ASSERT(m_arrival.callerDeadline <= m_now);
        }
    }

    void promptPartsEndAtTheFirstInvalidOne()
    {
        m_head.fields.add("X-Prompt-Prefix", "ff:100,zz:20,0b:30");
        parseHead();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_arrival.promptParts.size());
    }

    void requestWithoutOneHostIsMalformed()
    {
        RequestHead head{.method = "GET", .target = "/"};
        CPPUNIT_ASSERT(m_codec.parseRequest(head, m_arrival) == ErrorKind::MalformedRequest);
        head.fields.add("Host", "a");
        head.fields.add("host", "b");
        CPPUNIT_ASSERT(m_codec.parseRequest(head, m_arrival) == ErrorKind::MalformedRequest);
    }

    void reservedAndHopByHopFieldsAreNotForwarded()
    {
        for (const char *name : {"Authorization", "X-Tenant", "X-Target-Instance", "Kv-From",
                                 "Kv-Fetch", "Last-Event-Id", "X-Urgency-Class", "Expect",
                                 "Keep-Alive", "Transfer-Encoding", "X-Named"})
            m_head.fields.add(name, "foreign");
        m_head.fields.add("Connection", "keep-alive, X-Named");
        m_head.fields.add("X-Attempt-Id", "a-1");
        m_head.fields.add("Cookie", "c=1");
        const std::string output =
                forwardedHead({.instance = "s1", .deadline = m_now + seconds(1)});
        CPPUNIT_ASSERT(!contains(output, "foreign"));
        CPPUNIT_ASSERT(!contains(output, "Connection"));
        CPPUNIT_ASSERT(contains(output, "X-Attempt-Id: a-1\r\n"));
        CPPUNIT_ASSERT(contains(output, "Cookie: c=1\r\n"));
        CPPUNIT_ASSERT(contains(output, "Host: club.example:8080\r\n"));
    }

    void attemptFieldsAreWritten()
    {
        AttemptStart attempt{.instance = "s1", .deadline = m_now + milliseconds(900)};
        attempt.account = AccountId("club");
        attempt.urgency = 12;
        attempt.resumeAfter = 4;
        attempt.cache = {
                .kind = CacheSource::Kind::Moved, .address = "10.0.0.1:80", .handle = "h1"};
        const std::string output = forwardedHead(attempt, 11);
        CPPUNIT_ASSERT(output.starts_with("POST /review/7?x=1 HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(contains(output, "X-Target-Instance: s1\r\n"));
        CPPUNIT_ASSERT(contains(output, "X-Deadline-Ms: 900\r\n"));
        CPPUNIT_ASSERT(contains(output, "X-Tenant: club\r\n"));
        CPPUNIT_ASSERT(contains(output, "X-Urgency-Class: 9\r\n"));
        CPPUNIT_ASSERT(contains(output, "Last-Event-Id: 4\r\n"));
        CPPUNIT_ASSERT(contains(output, "Kv-From: 10.0.0.1:80/h1\r\n"));
        CPPUNIT_ASSERT(contains(output, "Content-Length: 11\r\n"));
    }

    void pastDeadlineIsForwardedAsPositive()
    {
        CPPUNIT_ASSERT(contains(forwardedHead({.instance = "s1", .deadline = m_now - seconds(1)}),
                                "X-Deadline-Ms: 1\r\n"));
    }

    void responseTraitsAreParsed()
    {
        ResponseHead head{.status = 421};
        head.fields.add("X-Attempt-Id", "a-1");
        head.fields.add("X-Not-Executed", "1");
        head.fields.add("Keep-Alive", "timeout=7, max=3");
        const ResponseTraits traits = m_codec.parseResponse(head);
        CPPUNIT_ASSERT(traits.isMisdirected && traits.wasNotRun);
        CPPUNIT_ASSERT_EQUAL(std::string("a-1"), traits.callerId.value());
        CPPUNIT_ASSERT(traits.keepAliveTimeout == seconds(7));
        const ResponseTraits plain = m_codec.parseResponse({.status = 200});
        CPPUNIT_ASSERT(!plain.isMisdirected && !plain.wasNotRun && !plain.callerId
                       && !plain.keepAliveTimeout);
    }

    void leavingAndRetryAfterAreParsed()
    {
        ResponseHead head{.status = 503};
        head.fields.add("Server-Leaving", "1");
        head.fields.add("Retry-After", "1.25");
        const ResponseTraits traits = m_codec.parseResponse(head);
        CPPUNIT_ASSERT(traits.isLeaving);
        CPPUNIT_ASSERT(traits.retryAfter == milliseconds(1250));
        head.status = 429;
        CPPUNIT_ASSERT(!m_codec.parseResponse(head).retryAfter);
        for (const char *text : {"", "soon", "-1", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            ResponseHead invalid{.status = 503};
            invalid.fields.add("Retry-After", text);
            CPPUNIT_ASSERT_MESSAGE(text, !m_codec.parseResponse(invalid).retryAfter);
        }
        // An endpoint can exclude itself for a limited time only.
        ResponseHead farFuture{.status = 503};
        farFuture.fields.add("Retry-After", "1e300");
        CPPUNIT_ASSERT(m_codec.parseResponse(farFuture).retryAfter <= seconds(60));
        ResponseHead staying{.status = 200};
        staying.fields.add("Server-Leaving", "0");
        CPPUNIT_ASSERT(!m_codec.parseResponse(staying).isLeaving);
    }

    void requestLimitIsParsed()
    {
        for (const int status : {200, 429, 503}) {
            ResponseHead head{.status = status};
            head.fields.add("Server-Limit", "1.5");
            CPPUNIT_ASSERT(m_codec.parseResponse(head).requestsPerSecond == 1.5);
        }
        for (const char *text : {"", "few", "-1", "inf", "nan", "1e300", "1 2"}) {
            ResponseHead invalid{.status = 200};
            invalid.fields.add("Server-Limit", text);
            const ResponseTraits traits = m_codec.parseResponse(invalid);
            CPPUNIT_ASSERT_MESSAGE(text, traits.hasInvalidLimit && !traits.requestsPerSecond);
        }
        ResponseHead repeated{.status = 200};
        repeated.fields.add("Server-Limit", "1");
        repeated.fields.add("Server-Limit", "9");
        CPPUNIT_ASSERT(m_codec.parseResponse(repeated).hasInvalidLimit);
        const ResponseTraits none = m_codec.parseResponse({.status = 200});
        CPPUNIT_ASSERT(!none.requestsPerSecond && !none.hasInvalidLimit);
    }

    // The exception ended the process.
    void moveOfARunWhoseIdIsNotUtf8IsWritten()
    {
        std::string output;
        m_codec.writeMoveRequest("\xae-17", {.targetAddress = "10.0.0.1:80"}, output);
        CPPUNIT_ASSERT_MESSAGE(output,
                               output.find("\"Id\":\"\xef\xbf\xbd-17\"") != std::string::npos);
    }

    void moveResponsesAreParsed()
    {
        CPPUNIT_ASSERT(parseMoveResponse(200, R"({"Handle": "h"})").result == RunMoveResult::Moved);
        CPPUNIT_ASSERT_EQUAL(std::string("h"), parseMoveResponse(200, R"({"Handle": "h"})").handle);
        CPPUNIT_ASSERT(parseMoveResponse(200, "{}").result == RunMoveResult::Failed);
        CPPUNIT_ASSERT(parseMoveResponse(404, "").result == RunMoveResult::NotFound);
        CPPUNIT_ASSERT(parseMoveResponse(503, R"({"Handle": "h"})").result
                       == RunMoveResult::Stopped);
        CPPUNIT_ASSERT(parseMoveResponse(503, "no JSON").result == RunMoveResult::Failed);
    }

    // Requests to the health path wait until the endpoint has a free slot.
    void statusCheckNeedsNoSlot()
    {
        std::string request;
        m_codec.writeStatusCheck({.address = "10.0.0.1:80"}, request);
        CPPUNIT_ASSERT_EQUAL(std::string("GET /report HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n"),
                             request);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCodecTest);
