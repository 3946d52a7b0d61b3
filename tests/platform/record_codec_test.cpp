#include "platform/record_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace monsoonsail;
using namespace monsoonsail::platform;
using namespace std::string_literals;

namespace {

/// The response to a read: end of the partition 9, first retained offset 2, then `records`.
std::string readResponse(const std::string &records)
{
    return "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02"s + records;
}

} // namespace

/// Checks the encoding of records in the platform's store.
class RecordCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecordCodecTest);
    CPPUNIT_TEST(recordWithKeyIsFramed);
    CPPUNIT_TEST(recordWithoutKeyIsFramed);
    CPPUNIT_TEST(encodedRecordsAreDecoded);
    CPPUNIT_TEST(deletedKeyHasAnEmptyValue);
    CPPUNIT_TEST(responseOfMaximumSizeIsCutOff);
    CPPUNIT_TEST(emptyResponseEndsAtItsStart);
    CPPUNIT_TEST(truncatedResponsesAreRejected);
    CPPUNIT_TEST(contentShorterThanItsKeyHasNoKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordWithKeyIsFramed()
    {
        CPPUNIT_ASSERT_EQUAL("\0\0\0\x05\x02"s + "k1ab", encodeRecord("keyed.t", "k1", "ab"));
    }

    void recordWithoutKeyIsFramed()
    {
        CPPUNIT_ASSERT_EQUAL("\0\0\0\x02"s + "ab", encodeRecord("t", "k1", "ab"));
    }

    void encodedRecordsAreDecoded()
    {
        const std::string body = readResponse(encodeRecord("keyed.t", "a", "1")
                                              + encodeRecord("keyed.t", "b", "\0\xff"s));
        const auto records = decodeRecords("keyed.t", 5, body);
        CPPUNIT_ASSERT(records);
        CPPUNIT_ASSERT_EQUAL(LogOffset(2), records->first);
        CPPUNIT_ASSERT_EQUAL(LogOffset(7), records->end);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), records->records.size());
        CPPUNIT_ASSERT_EQUAL(LogOffset(6), records->records[1].offset);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), records->records[1].key);
        CPPUNIT_ASSERT_EQUAL("\0\xff"s, records->records[1].value);
    }

    void deletedKeyHasAnEmptyValue()
    {
        const auto records =
                decodeRecords("keyed.t", 0, readResponse(encodeRecord("keyed.t", "a", "")));
        CPPUNIT_ASSERT(records);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), records->records.front().key);
        CPPUNIT_ASSERT(records->records.front().value.empty());
    }

    void responseOfMaximumSizeIsCutOff()
    {
        const std::string record = encodeRecord("t", "", std::string(600UL * 1024, 'x'));
        const std::string small = encodeRecord("t", "", "x");
        CPPUNIT_ASSERT(decodeRecords("t", 5, readResponse(record))->isCutOff);
        CPPUNIT_ASSERT(!decodeRecords("t", 8, readResponse(record))->isCutOff);
        CPPUNIT_ASSERT(!decodeRecords("t", 5, readResponse(small))->isCutOff);
    }

    void emptyResponseEndsAtItsStart()
    {
        const auto records = decodeRecords("t", 5, readResponse(""));
        CPPUNIT_ASSERT(records);
        CPPUNIT_ASSERT_EQUAL(LogOffset(5), records->end);
        CPPUNIT_ASSERT(records->records.empty());
    }

    void truncatedResponsesAreRejected()
    {
        const std::string whole = readResponse(encodeRecord("t", "", "abc"));
        const std::size_t headSize = readResponse("").size();
        for (std::size_t size = 0; size < whole.size(); ++size) {
            if (size != headSize)
                CPPUNIT_ASSERT(!decodeRecords("t", 0, whole.substr(0, size)));
        }
    }

    void contentShorterThanItsKeyHasNoKey()
    {
        // The declared key size exceeds the content.
        const auto records = decodeRecords("keyed.t", 0, readResponse("\0\0\0\x02\x09x"s));
        CPPUNIT_ASSERT(records);
        CPPUNIT_ASSERT(records->records.front().key.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordCodecTest);
