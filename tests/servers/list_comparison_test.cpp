#include "servers/endpoints/list_comparison.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards that an instance notices missed changes of endpoints, and takes nothing else for one.
class ListComparisonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListComparisonTest);
    CPPUNIT_TEST(missedRemovalIsALastingDifference);
    CPPUNIT_TEST(changeOnItsWayIsNoLastingDifference);
    CPPUNIT_TEST(changesWithoutPauseAreNoLastingDifference);
    CPPUNIT_TEST(reportFromBeforeTheOwnReadIsNoDifference);
    CPPUNIT_TEST(reportOfAReaderThatIsBehindIsNoDifference);
    CPPUNIT_TEST(differenceThatReadingDoesNotEndIsReturnedRarely);
    CPPUNIT_TEST(newDifferenceIsReturnedBesideOneThatStays);
    CPPUNIT_TEST(silentReaderIsForgotten);
    CPPUNIT_TEST(checksumIsThatOfTheListedEndpoints);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now = instantFromMicroseconds(1'000'000'000);
    EndpointRegistry m_reader;
    EndpointRegistry m_own;
    ListComparison m_comparison{m_own};
    std::uint64_t m_offset = 0;

    EndpointListing listing(const std::string &instance, std::uint64_t offset) const
    {
        return {.instance = instance, .startedMs = 1, .sequence = offset, .logOffset = offset};
    }
    void add(const std::string &instance)
    {
        m_reader.applyListing(listing(instance, m_offset), m_now);
        m_own.applyListing(listing(instance, m_offset), m_now);
        ++m_offset;
    }
    void drop(EndpointRegistry &endpoints, const std::string &instance)
    {
        endpoints.markUnlisted(instance, m_offset++, Instant::min(), m_now);
    }
    /// Lets the reader report its endpoints every 500 ms. Returns the number of differences.
    int differences(Duration duration)
    {
        int count = 0;
        const Instant end = m_now + duration;
        for (int tick = 0; m_now < end; ++tick) {
            if (tick % 5 == 0)
                report();
            m_now += milliseconds(100);
            count += m_comparison.takeLasting(m_now) ? 1 : 0;
        }
        return count;
    }
    void report()
    {
        m_comparison.recordReport("r", {.listEnd = ++m_offset, .checksum = m_reader.listChecksum()},
                                  m_now + milliseconds(500), m_now);
    }

public:
    void setUp() override
    {
        add("i-1");
        add("i-2");
    }

    void missedRemovalIsALastingDifference()
    {
        CPPUNIT_ASSERT_EQUAL(0, differences(seconds(3)));
        drop(m_reader, "i-1");
        CPPUNIT_ASSERT_EQUAL(1, differences(milliseconds(700)));
        CPPUNIT_ASSERT(!m_comparison.agreesWith("r"));
        drop(m_own, "i-1");
        CPPUNIT_ASSERT(m_comparison.agreesWith("r"));
        CPPUNIT_ASSERT_EQUAL(0, differences(seconds(3)));
    }

    void changeOnItsWayIsNoLastingDifference()
    {
        drop(m_reader, "i-1");
        CPPUNIT_ASSERT_EQUAL(0, differences(milliseconds(500)));
        drop(m_own, "i-1");
        CPPUNIT_ASSERT_EQUAL(0, differences(seconds(3)));
    }

    void changesWithoutPauseAreNoLastingDifference()
    {
        for (int change = 0; change < 40; ++change) {
            const std::string instance = "n-" + std::to_string(change);
            m_reader.applyListing(listing(instance, m_offset), m_now);
            report();
            m_now += milliseconds(90);
            CPPUNIT_ASSERT(!m_comparison.takeLasting(m_now));
            m_own.applyListing(listing(instance, m_offset), m_now);
            m_comparison.update(m_now);
            m_now += milliseconds(10);
        }
    }

    void reportFromBeforeTheOwnReadIsNoDifference()
    {
        drop(m_own, "i-1");
        m_own.advanceReadEnd(m_offset + 1000);
        CPPUNIT_ASSERT_EQUAL(0, differences(seconds(3)));
    }

    void reportOfAReaderThatIsBehindIsNoDifference()
    {
        const ListComparison::Report old{.listEnd = m_offset, .checksum = m_reader.listChecksum()};
        drop(m_reader, "i-1");
        drop(m_own, "i-1");
        for (int count = 0; count < 20; ++count) {
            report();
            m_comparison.recordReport("frozen", old, m_now + milliseconds(500), m_now);
            m_now += milliseconds(400);
            CPPUNIT_ASSERT(!m_comparison.takeLasting(m_now));
        }
    }

    // Reading the list for each report would cost every instance two calls a second.
    void differenceThatReadingDoesNotEndIsReturnedRarely()
    {
        drop(m_reader, "i-1");
        const int count = differences(seconds(300));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(count), count >= 4 && count <= 12);
    }

    void newDifferenceIsReturnedBesideOneThatStays()
    {
        drop(m_reader, "i-1");
        differences(seconds(100));
        drop(m_reader, "i-2");
        CPPUNIT_ASSERT(differences(milliseconds(700)) >= 1);
    }

    void silentReaderIsForgotten()
    {
        drop(m_reader, "i-1");
        report();
        m_now += seconds(4);
        CPPUNIT_ASSERT(!m_comparison.takeLasting(m_now));
        CPPUNIT_ASSERT(m_comparison.agreesWith("r"));
    }

    void checksumIsThatOfTheListedEndpoints()
    {
        EndpointRegistry other;
        other.applyListing(listing("i-2", 8), m_now);
        other.applyListing(listing("i-3", 9), m_now);
        other.applyListing(listing("i-1", 10), m_now);
        EndpointListing leaving = listing("i-3", 11);
        leaving.isLeaving = true;
        other.applyListing(leaving, m_now);
        CPPUNIT_ASSERT_EQUAL(m_own.listChecksum(), other.listChecksum());
        // An endpoint that has told its end only in its answers is still listed.
        other.markLeaving(endpointId("i-2", 1), m_now);
        CPPUNIT_ASSERT_EQUAL(m_own.listChecksum(), other.listChecksum());
        other.markUnlisted("i-2", 12, Instant::min(), m_now);
        CPPUNIT_ASSERT(m_own.listChecksum() != other.listChecksum());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListComparisonTest);
