#include "servers/endpoints/endpoint_feed.h"
#include "tests/servers/serving_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Reads every record as an endpoint of one service.
class OneServiceCodec : public SiteCodec
{
public:
    std::string_view configurationTopic() const override { return "keyed.op"; }
    std::string_view configurationKey() const override { return "config"; }
    std::string_view endpointTopic() const override { return "keyed.servers"; }
    std::shared_ptr<const SiteConfiguration> parseConfiguration(std::string_view /*text*/,
                                                                std::string &fault) const override
    {
        fault = "no configuration here";
        return nullptr;
    }
    std::optional<EndpointListing> parseEndpointListing(const std::string &instance,
                                                        std::string_view /*text*/, Instant /*now*/,
                                                        std::string & /*fault*/) const override
    {
        EndpointListing listing;
        listing.instance = instance;
        listing.startedMs = 1;
        listing.sequence = 1;
        listing.service = ServiceId("books");
        listing.address = "10.0.0.1:80";
        listing.zone = ZoneId("a");
        return listing;
    }
};

} // namespace

/// Guards what becomes of endpoints whose entries go while the store cannot be read.
class EndpointFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointFeedTest);
    CPPUNIT_TEST(droppedEntryIsUnusableAtOnce);
    CPPUNIT_TEST(dropAfterALostCallIsUnusableAtOnce);
    CPPUNIT_TEST(dropAfterAnOutageStaysUsableForAWhile);
    CPPUNIT_TEST(dropSoonAfterAnOutageStaysUsableForAWhile);
    CPPUNIT_TEST(firstReadOfTheListIsNoNews);
    CPPUNIT_TEST(changeIsToldAFewTimes);
    CPPUNIT_TEST_SUITE_END();

    ServingFixture m_bench;
    OneServiceCodec m_codec;
    std::unique_ptr<EndpointFeed> m_feed;

    void appear()
    {
        m_feed->onValueChanged({.offset = 0, .key = "e1", .value = "{}"}, m_bench.now);
        m_feed->onCaughtUp(1, m_bench.now, m_bench.now);
        CPPUNIT_ASSERT(isUsable());
    }
    bool isUsable()
    {
        const Endpoint *endpoint = m_bench.context.endpoints.find(endpointId("e1", 1));
        return endpoint != nullptr && endpoint->isUsable(m_bench.now);
    }
    void interrupt(Duration length)
    {
        const Instant since = m_bench.now;
        m_bench.advance(length);
        m_feed->onReadFailed(std::make_error_code(std::errc::timed_out), since, m_bench.now);
    }
    void drop()
    {
        m_feed->onKeyRemoved("e1", 1, m_bench.now);
        m_feed->onCaughtUp(2, m_bench.now, m_bench.now);
    }

public:
    void setUp() override { m_feed = std::make_unique<EndpointFeed>(m_bench.context, m_codec); }

    void droppedEntryIsUnusableAtOnce()
    {
        appear();
        drop();
        CPPUNIT_ASSERT(!isUsable());
    }

    void dropAfterALostCallIsUnusableAtOnce()
    {
        appear();
        interrupt(milliseconds(1300));
        drop();
        CPPUNIT_ASSERT(!isUsable());
    }

    void dropAfterAnOutageStaysUsableForAWhile()
    {
        appear();
        interrupt(seconds(3));
        drop();
        m_bench.advance(milliseconds(1700));
        CPPUNIT_ASSERT(isUsable());
        m_bench.advance(milliseconds(300));
        CPPUNIT_ASSERT(!isUsable());
    }

    void dropSoonAfterAnOutageStaysUsableForAWhile()
    {
        appear();
        interrupt(seconds(3));
        m_feed->onCaughtUp(1, m_bench.now, m_bench.now);
        m_bench.advance(milliseconds(500));
        drop();
        m_bench.advance(milliseconds(1200));
        CPPUNIT_ASSERT(isUsable());
        m_bench.advance(milliseconds(300));
        CPPUNIT_ASSERT(!isUsable());
    }

    // 1,000 endpoints that a starting instance has just read do not fit into a datagram.
    void firstReadOfTheListIsNoNews()
    {
        appear();
        CPPUNIT_ASSERT(m_feed->updateQueue().takeDue(m_bench.now).empty());
        m_bench.advance(milliseconds(300));
        drop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_feed->updateQueue().takeDue(m_bench.now).size());
    }

    // sipka-fleet-large, quiet-1: every change was told in every digest for 1.5 s, to 117 peers;
    // the links of the readers were full, so that all instances took to reading the store.
    void changeIsToldAFewTimes()
    {
        appear();
        drop();
        std::size_t told = 0;
        for (int digests = 0; digests < 40; ++digests) {
            told += m_feed->updateQueue().takeDue(m_bench.now).size();
            m_bench.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, told);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointFeedTest);
