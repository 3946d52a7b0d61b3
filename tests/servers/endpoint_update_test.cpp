#include "drivers/mesh/bulletin_codec.h"
#include "servers/endpoints/endpoint_update.h"
#include "servers/endpoints/endpoint_update_queue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards that news of endpoints never undoes what is known from a later place in the list's log.
class EndpointUpdateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointUpdateTest);
    CPPUNIT_TEST(newsSpreads);
    CPPUNIT_TEST(latecomerDoesNotReviveADroppedEndpoint);
    CPPUNIT_TEST(entryFromBeforeTheListWasReadIsNotTakenOver);
    CPPUNIT_TEST(dropOfAnUnknownEndpointOutlastsItsEntry);
    CPPUNIT_TEST(endpointThatIsListedAgainIsRevived);
    CPPUNIT_TEST(olderDropDoesNotEndANewerEntry);
    CPPUNIT_TEST(manyChangesAreToldInSeveralDatagrams);
    CPPUNIT_TEST(droppedEndpointIsUnusableWhateverTheClocks);
    CPPUNIT_TEST(noticeKeepsWhatIsKnownOfAnEndpoint);
    CPPUNIT_TEST(noticeOfAnUnknownEndpointOutlastsItsEntry);
    CPPUNIT_TEST(instantsAreMovedToThisClock);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now = instantFromMicroseconds(1'000'000'000);

    EndpointListing listing(std::uint64_t logOffset) const
    {
        return {.instance = "i-1",
                .startedMs = 1,
                .sequence = logOffset,
                .logOffset = logOffset,
                .service = ServiceId("model"),
                .address = "10.0.0.1:80",
                .zone = ZoneId("a")};
    }
    EndpointState state(const EndpointRegistry &endpoints) const
    {
        return endpoints.find(endpointId("i-1", 1))->state;
    }
    /// Has `from` tell everything of the last 1.5 s to `to`.
    void tell(const EndpointRegistry &from, EndpointRegistry &to)
    {
        m_now += milliseconds(50);
        for (const auto &[id, endpoint] : from.all())
            if (endpoint.stateSince >= m_now - milliseconds(1500))
                applyEndpointUpdate(makeEndpointUpdate(endpoint), {}, to, m_now);
    }

public:
    void newsSpreads()
    {
        EndpointRegistry reader;
        EndpointRegistry other;
        reader.applyListing(listing(5), m_now);
        tell(reader, other);
        CPPUNIT_ASSERT(state(other) == EndpointState::Ready);
        reader.markUnlisted("i-1", 6, Instant::min(), m_now);
        tell(reader, other);
        CPPUNIT_ASSERT(state(other) == EndpointState::Unlisted);
    }

    // sipka-fleet, trouble-3 --seed 280165533224: an instance that had just started heard of an
    // endpoint from a peer that did not know of its drop yet, and told it to all as new (DRAIN).
    void latecomerDoesNotReviveADroppedEndpoint()
    {
        EndpointRegistry reader;
        EndpointRegistry behind;
        EndpointRegistry started;
        reader.applyListing(listing(5), m_now);
        tell(reader, behind);
        m_now += milliseconds(600);
        reader.markUnlisted("i-1", 6, Instant::min(), m_now);
        tell(behind, started);
        CPPUNIT_ASSERT(state(started) == EndpointState::Ready);
        tell(started, reader);
        CPPUNIT_ASSERT(state(reader) == EndpointState::Unlisted);
        tell(reader, started);
        CPPUNIT_ASSERT(state(started) == EndpointState::Unlisted);
    }

    void entryFromBeforeTheListWasReadIsNotTakenOver()
    {
        EndpointRegistry behind;
        EndpointRegistry started;
        behind.applyListing(listing(5), m_now);
        // The endpoint was dropped at place 6, before the list was read.
        started.advanceReadEnd(7);
        tell(behind, started);
        CPPUNIT_ASSERT(started.find(endpointId("i-1", 1)) == nullptr);
    }

    void dropOfAnUnknownEndpointOutlastsItsEntry()
    {
        EndpointRegistry reader;
        EndpointRegistry behind;
        EndpointRegistry started;
        started.advanceReadEnd(3);
        behind.applyListing(listing(5), m_now);
        reader.applyListing(listing(5), m_now);
        reader.markUnlisted("i-1", 6, Instant::min(), m_now);
        tell(reader, started);
        tell(behind, started);
        CPPUNIT_ASSERT(state(started) == EndpointState::Unlisted);
    }

    void endpointThatIsListedAgainIsRevived()
    {
        EndpointRegistry reader;
        EndpointRegistry other;
        reader.applyListing(listing(5), m_now);
        reader.markUnlisted("i-1", 6, Instant::min(), m_now);
        tell(reader, other);
        reader.applyListing(listing(7), m_now);
        tell(reader, other);
        CPPUNIT_ASSERT(state(other) == EndpointState::Ready);
    }

    void olderDropDoesNotEndANewerEntry()
    {
        EndpointRegistry behind;
        EndpointRegistry reader;
        behind.applyListing(listing(5), m_now);
        behind.markUnlisted("i-1", 6, Instant::min(), m_now);
        reader.applyListing(listing(7), m_now);
        tell(behind, reader);
        CPPUNIT_ASSERT(state(reader) == EndpointState::Ready);
    }

    // sweep of sipka-fleet-grown at 30 instances and 300 endpoints: what was cut off from a digest
    // with over 200 changes reached some instances too late (DRAIN).
    void manyChangesAreToldInSeveralDatagrams()
    {
        EndpointRegistry endpoints;
        EndpointUpdateQueue queue(endpoints);
        for (int index = 0; index < 3000; ++index) {
            EndpointListing changed = listing(5);
            changed.instance = "i-" + std::to_string(index);
            changed.isLeaving = index >= 2900;
            endpoints.applyListing(changed, m_now);
            queue.add(endpointId(changed.instance, 1));
        }
        std::set<std::string> told;
        for (int bulletins = 0; bulletins < 200; ++bulletins) {
            const std::vector<EndpointUpdate> updates = queue.takeDue(m_now);
            CPPUNIT_ASSERT(encodeBulletin({.updates = updates}).size() < 8'000);
            for (const EndpointUpdate &item : updates)
                told.insert(item.listing.instance);
            // Those that leave come first.
            if (bulletins == 1) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{120}, told.size());
                for (int index = 2900; index < 3000; ++index)
                    CPPUNIT_ASSERT(told.contains("i-" + std::to_string(index)));
            }
            m_now += milliseconds(100);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3000}, told.size());
    }

    // The sentinel for "never" was moved by the difference of the clocks and became "for ever".
    void droppedEndpointIsUnusableWhateverTheClocks()
    {
        for (const Duration offset : {Duration(seconds(2)), Duration(seconds(-2))}) {
            EndpointRegistry endpoints;
            endpoints.applyListing(listing(5), m_now);
            applyEndpointUpdate({.listing = listing(6), .state = EndpointState::Unlisted}, offset,
                                endpoints, m_now);
            CPPUNIT_ASSERT(!endpoints.find(endpointId("i-1", 1))->isUsable(m_now));
        }
    }

    // A run is moved off its endpoint by the address that was known before.
    void noticeKeepsWhatIsKnownOfAnEndpoint()
    {
        EndpointRegistry endpoints;
        endpoints.applyListing(listing(5), m_now);
        const EndpointUpdate notice{.listing = {.instance = "i-1",
                                                .startedMs = 1,
                                                .sequence = 6,
                                                .logOffset = 6,
                                                .leavesAt = m_now + seconds(4)},
                                    .state = EndpointState::Leaving};
        applyEndpointUpdate(notice, seconds(1), endpoints, m_now);
        const Endpoint *endpoint = endpoints.find(endpointId("i-1", 1));
        CPPUNIT_ASSERT(endpoint->state == EndpointState::Leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), endpoint->listing.address);
        CPPUNIT_ASSERT(endpoint->listing.leavesAt == m_now + seconds(3));
        // An older entry that comes later does not revive it.
        applyEndpointUpdate({.listing = listing(5)}, {}, endpoints, m_now);
        CPPUNIT_ASSERT(endpoint->state == EndpointState::Leaving);
    }

    void noticeOfAnUnknownEndpointOutlastsItsEntry()
    {
        EndpointRegistry endpoints;
        applyEndpointUpdate(
                {.listing = {.instance = "i-1", .startedMs = 1, .sequence = 6, .logOffset = 6},
                 .state = EndpointState::Leaving},
                {}, endpoints, m_now);
        applyEndpointUpdate({.listing = listing(5)}, {}, endpoints, m_now);
        CPPUNIT_ASSERT(!endpoints.find(endpointId("i-1", 1))->isUsable(m_now));
    }

    void instantsAreMovedToThisClock()
    {
        EndpointListing leaving = listing(5);
        leaving.leavesAt = m_now + seconds(4);
        leaving.coldUntil = m_now + seconds(3);
        EndpointRegistry endpoints;
        applyEndpointUpdate({.listing = leaving}, seconds(2), endpoints, m_now);
        const Endpoint *endpoint = endpoints.find(endpointId("i-1", 1));
        CPPUNIT_ASSERT(endpoint->listing.leavesAt == m_now + seconds(2));
        CPPUNIT_ASSERT(endpoint->listing.coldUntil == m_now + seconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointUpdateTest);
