#include "servers/endpoints/endpoint_registry.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::seconds;

/// Guards against work for endpoints that leave, and against stale entries.
class EndpointRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointRegistryTest);
    CPPUNIT_TEST(leavingIsForGood);
    CPPUNIT_TEST(entryOfAnEarlierIncarnationChangesNothing);
    CPPUNIT_TEST(olderReportOfTheSameIncarnationChangesNothing);
    CPPUNIT_TEST(restartIsAnotherEndpoint);
    CPPUNIT_TEST(lapsedEntryStaysUsableForAWhile);
    CPPUNIT_TEST(droppedEntryIsNotUsable);
    CPPUNIT_TEST(lapsedEntryComesBack);
    CPPUNIT_TEST(leavingEndpointDoesNotComeBackByALapse);
    CPPUNIT_TEST(unlistedEndpointsAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    EndpointRegistry m_registry;
    Instant m_now = instantFromMicroseconds(1'000'000'000);

    void list(std::int64_t startedMs, std::uint64_t sequence, bool isLeaving = false)
    {
        m_registry.applyListing({.instance = "i-1",
                                 .startedMs = startedMs,
                                 .sequence = sequence,
                                 .service = ServiceId("desk"),
                                 .isLeaving = isLeaving},
                                m_now);
    }

    const Endpoint &endpoint(std::int64_t startedMs)
    {
        return *m_registry.find(endpointId("i-1", startedMs));
    }

public:
    void leavingIsForGood()
    {
        list(1, 1);
        list(1, 2, true);
        list(1, 3);
        CPPUNIT_ASSERT(endpoint(1).state == EndpointState::Leaving);
    }

    void entryOfAnEarlierIncarnationChangesNothing()
    {
        list(5, 1);
        list(4, 9, true);
        CPPUNIT_ASSERT(endpoint(5).state == EndpointState::Ready);
        CPPUNIT_ASSERT(m_registry.find(endpointId("i-1", 4)) == nullptr);
    }

    void olderReportOfTheSameIncarnationChangesNothing()
    {
        list(1, 5);
        list(1, 4, true);
        CPPUNIT_ASSERT(endpoint(1).state == EndpointState::Ready);
    }

    void restartIsAnotherEndpoint()
    {
        list(1, 5, true);
        list(2, 1);
        CPPUNIT_ASSERT(endpoint(2).state == EndpointState::Ready);
        CPPUNIT_ASSERT(endpoint(1).state == EndpointState::Leaving);
    }

    void lapsedEntryStaysUsableForAWhile()
    {
        list(1, 1);
        m_registry.markUnlisted("i-1", 0, m_now + seconds(2), m_now);
        CPPUNIT_ASSERT(endpoint(1).isUsable(m_now + seconds(1)));
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now + seconds(3)));
    }

    void droppedEntryIsNotUsable()
    {
        list(1, 1);
        m_registry.markUnlisted("i-1", 0, Instant::min(), m_now);
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now));
    }

    void lapsedEntryComesBack()
    {
        list(1, 1);
        m_registry.markUnlisted("i-1", 0, Instant::min(), m_now);
        list(1, 2);
        CPPUNIT_ASSERT(endpoint(1).isUsable(m_now));
    }

    void leavingEndpointDoesNotComeBackByALapse()
    {
        list(1, 1, true);
        m_registry.markUnlisted("i-1", 0, m_now + seconds(2), m_now);
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now));
        list(1, 2);
        CPPUNIT_ASSERT(!endpoint(1).isUsable(m_now));
    }

    void unlistedEndpointsAreForgotten()
    {
        list(1, 1);
        m_registry.markUnlisted("i-1", 0, Instant::min(), m_now);
        CPPUNIT_ASSERT(m_registry.removeExpired(m_now + seconds(30)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_registry.removeExpired(m_now + seconds(90)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);
