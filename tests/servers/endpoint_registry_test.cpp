#include "servers/endpoints/endpoint_registry.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::seconds;

/// Guards against work for leaving endpoints and against the effects of stale entries.
class EndpointRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointRegistryTest);
    CPPUNIT_TEST(leavingIsPermanent);
    CPPUNIT_TEST(entryOfAnEarlierIncarnationChangesNothing);
    CPPUNIT_TEST(olderReportOfTheSameIncarnationChangesNothing);
    CPPUNIT_TEST(restartIsAnotherEndpoint);
    CPPUNIT_TEST(lapsedEntryStaysUsableForAWhile);
    CPPUNIT_TEST(droppedEntryIsNotUsable);
    CPPUNIT_TEST(lapsedEntryComesBack);
    CPPUNIT_TEST(leavingEndpointDoesNotComeBackByALapse);
    CPPUNIT_TEST(unlistedEndpointsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    EndpointRegistry m_registry;
    Instant m_now = instantFromMicroseconds(1'000'000'000);

    void applyEntry(std::int64_t startedMs, std::uint64_t sequence, bool isLeaving = false)
    {
        m_registry.applyListing({.instance = "i-1",
                                 .startedMs = startedMs,
                                 .sequence = sequence,
                                 .service = ServiceId("plain"),
                                 .isLeaving = isLeaving},
                                m_now);
    }

    const Endpoint &endpoint(std::int64_t startedMs)
    {
        return *m_registry.find(endpointId("i-1", startedMs));
    }

public:
    void leavingIsPermanent()
    {
        applyEntry(1, 1);
        applyEntry(1, 2, true);
        applyEntry(1, 3);
        CPPUNIT_ASSERT(endpoint(1).state == EndpointState::Leaving);
    }

    void entryOfAnEarlierIncarnationChangesNothing()
    {
        applyEntry(5, 1);
        applyEntry(4, 9, true);
        CPPUNIT_ASSERT(endpoint(5).state == EndpointState::Ready);
        CPPUNIT_ASSERT(m_registry.find(endpointId("i-1", 4)) == nullptr);
    }

    void olderReportOfTheSameIncarnationChangesNothing()
    {
        applyEntry(1, 5);
        applyEntry(1, 4, true);
        CPPUNIT_ASSERT(endpoint(1).state == EndpointState::Ready);
    }

    void restartIsAnotherEndpoint()
    {
        applyEntry(1, 5, true);
        applyEntry(2, 1);
        CPPUNIT_ASSERT(endpoint(2).state == EndpointState::Ready);
        CPPUNIT_ASSERT(endpoint(1).state == EndpointState::Leaving);
    }

    void lapsedEntryStaysUsableForAWhile()
    {
        applyEntry(1, 1);
        m_registry.markUnlisted("i-1", 0, m_now + seconds(2), m_now);
        CPPUNIT_ASSERT(endpoint(1).isUsable(m_now + seconds(1)));
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now + seconds(3)));
    }

    void droppedEntryIsNotUsable()
    {
        applyEntry(1, 1);
        m_registry.markUnlisted("i-1", 0, Instant::min(), m_now);
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now));
    }

    void lapsedEntryComesBack()
    {
        applyEntry(1, 1);
        m_registry.markUnlisted("i-1", 0, Instant::min(), m_now);
        applyEntry(1, 2);
        CPPUNIT_ASSERT(endpoint(1).isUsable(m_now));
    }

    void leavingEndpointDoesNotComeBackByALapse()
    {
        applyEntry(1, 1, true);
        m_registry.markUnlisted("i-1", 0, m_now + seconds(2), m_now);
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now));
        applyEntry(1, 2);
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now));
    }

    void unlistedEndpointsAreRemoved()
    {
        applyEntry(1, 1);
        m_registry.markUnlisted("i-1", 0, Instant::min(), m_now);
        CPPUNIT_ASSERT(m_registry.removeExpired(m_now + seconds(30)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_registry.removeExpired(m_now + seconds(90)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);
