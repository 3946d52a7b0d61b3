#include "servers/versions/version_directory.h"
#include "tests/servers/version_log_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

class VersionDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionDirectoryTest);
    CPPUNIT_TEST(ownStreamIsKnownWithoutTheStore);
    CPPUNIT_TEST(onlyVersionIsReadAnew);
    CPPUNIT_TEST(recordsDecideWhileThereAreSeveralVersions);
    CPPUNIT_TEST(recordsDecideAfterARestore);
    CPPUNIT_TEST(streamsOfOneVersionGoOnAfterARestore);
    CPPUNIT_TEST(unreadStoreShowsNoVersion);
    CPPUNIT_TEST(streamsBeginAtStoredVersionsOnly);
    CPPUNIT_TEST(settledInstanceMayBeginStreams);
    CPPUNIT_TEST(refusedAppendsDelaySettlingBriefly);
    CPPUNIT_TEST_SUITE_END();

    /// The directory of one instance.
    struct Instance
    {
        Instance(const std::string &name, VersionLogFixture &fixture)
            : directory(name, registry, fixture.store, fixture.clock(), fixture.log)
        { }
        EndpointRegistry registry;
        VersionDirectory directory;
    };

    VersionLogFixture m_fixture;
    std::deque<Instance> m_instances;

    Instance &add(const std::vector<std::string> &versions)
    {
        Instance &instance =
                m_instances.emplace_back("entry." + std::to_string(m_instances.size()), m_fixture);
        VersionLogFixture::list(instance.registry, versions);
        return instance;
    }

    void advance(Duration duration)
    {
        for (const Instant end = m_fixture.now + duration; m_fixture.now < end;
             m_fixture.now += milliseconds(50)) {
            for (Instance &instance : m_instances)
                instance.directory.advance(true, {}, 5);
            m_fixture.store.answerPending();
        }
    }

    void begin(Instance &instance, const std::string &request, const std::string &version)
    {
        instance.directory.recordBegin(m_fixture.service, request, SoftwareVersion(version));
    }

    /// Returns the ground and the version of the stream's origin.
    std::string find(Instance &instance, const std::string &request)
    {
        std::string found;
        instance.directory.findOrigin(m_fixture.service, request, m_fixture.now,
                                      [&found](const StreamOrigin &origin, Instant /*now*/) {
                                          CPPUNIT_ASSERT(found.empty());
                                          found = originGroundName(origin.ground);
                                          if (origin.software)
                                              found += " " + origin.software->value();
                                      });
        m_fixture.store.answerPending();
        return found;
    }

public:
    void ownStreamIsKnownWithoutTheStore()
    {
        Instance &instance = add({"v1", "v2"});
        m_fixture.store.error = StoreError::Unreachable;
        begin(instance, "r1", "v2");
        CPPUNIT_ASSERT_EQUAL(std::string("own v2"), find(instance, "r1"));
        CPPUNIT_ASSERT_EQUAL(0, m_fixture.store.newestReads);
    }

    void onlyVersionIsReadAnew()
    {
        Instance &reader = add({"v1"});
        Instance &other = add({"v1"});
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("only-version v1"), find(other, "r1"));
        CPPUNIT_ASSERT_EQUAL(0, m_fixture.store.reads);
        // The other instance does not know of the second version yet.
        VersionLogFixture::list(reader.registry, {"v1", "v2"});
        reader.directory.advance(true, {}, 5);
        m_fixture.store.answerPending();
        begin(reader, "r2", "v2");
        CPPUNIT_ASSERT_EQUAL(std::string("no-record"), find(other, "r2"));
    }

    void recordsDecideWhileThereAreSeveralVersions()
    {
        Instance &first = add({"v1"});
        Instance &other = add({"v1"});
        advance(seconds(1));
        begin(first, "r1", "v1");
        for (Instance &instance : m_instances)
            VersionLogFixture::list(instance.registry, {"v1", "v2"});
        advance(seconds(1));
        begin(first, "r2", "v2");
        CPPUNIT_ASSERT_EQUAL(std::string("begin-record v1"), find(other, "r1"));
        CPPUNIT_ASSERT_EQUAL(std::string("no-record"), find(other, "r2"));
        advance(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::string("begin-record v2"), find(other, "r2"));
        CPPUNIT_ASSERT_EQUAL(std::string("no-record"), find(other, "r3"));
    }

    void recordsDecideAfterARestore()
    {
        Instance &first = add({"v1"});
        advance(seconds(1));
        const auto copy = m_fixture.store.lengths();
        VersionLogFixture::list(first.registry, {"v1", "v2"});
        advance(seconds(1));
        begin(first, "r2", "v2");
        advance(seconds(1));
        m_fixture.store.restore(copy);
        // An instance that knows neither the second version nor the stream.
        Instance &started = add({"v1"});
        CPPUNIT_ASSERT_EQUAL(std::string("no-record"), find(started, "r2"));
        started.directory.advance(true, {}, 5);
        m_fixture.store.answerPending();
        CPPUNIT_ASSERT_EQUAL(std::string("no-record"), find(started, "r2"));
        begin(first, "r3", "v2");
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("begin-record v2"), find(started, "r3"));
    }

    // With one version in the list, no begin was recorded while the roster showed nothing.
    void streamsOfOneVersionGoOnAfterARestore()
    {
        Instance &first = add({"v1"});
        advance(seconds(1));
        begin(first, "r1", "v1");
        m_fixture.store.restore(m_fixture.store.lengths());
        Instance &started = add({"v1"});
        advance(seconds(1));
        begin(first, "r2", "v1");
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("begin-record v1"), find(started, "r1"));
        CPPUNIT_ASSERT_EQUAL(std::string("begin-record v1"), find(started, "r2"));
        advance(seconds(30));
        const int appends = m_fixture.store.appends;
        begin(first, "r3", "v1");
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(appends, m_fixture.store.appends);
        CPPUNIT_ASSERT_EQUAL(std::string("only-version v1"), find(started, "r3"));
    }

    void unreadStoreShowsNoVersion()
    {
        Instance &instance = add({"v1"});
        m_fixture.store.error = StoreError::Unreachable;
        CPPUNIT_ASSERT_EQUAL(std::string("store-unreachable"), find(instance, "r1"));
        m_fixture.store.error = {};
        advance(seconds(1));
        m_fixture.store.error = StoreError::Busy;
        CPPUNIT_ASSERT_EQUAL(std::string("store-unreachable"), find(instance, "r1"));
        m_fixture.store.error = {};
        VersionLogFixture::list(instance.registry, {"v1", "v2"});
        advance(seconds(1));
        std::string found;
        instance.directory.findOrigin(m_fixture.service, "r1", m_fixture.now,
                                      [&found](const StreamOrigin &origin, Instant /*now*/) {
                                          CPPUNIT_ASSERT(!origin.software);
                                          found = originGroundName(origin.ground);
                                      });
        // The roster is read, the begin records are not.
        m_fixture.store.answerNext();
        m_fixture.store.error = StoreError::Unreachable;
        m_fixture.store.answerPending();
        CPPUNIT_ASSERT_EQUAL(std::string("store-unreachable"), found);
    }

    void streamsBeginAtStoredVersionsOnly()
    {
        Instance &instance = add({"v1"});
        const auto mayBegin = [&](const std::string &version) {
            return instance.directory.mayBegin(m_fixture.service, SoftwareVersion(version));
        };
        CPPUNIT_ASSERT(!mayBegin("v1"));
        CPPUNIT_ASSERT(!instance.directory.isSettled());
        advance(seconds(1));
        CPPUNIT_ASSERT(mayBegin("v1"));
        CPPUNIT_ASSERT(instance.directory.isSettled());
        VersionLogFixture::list(instance.registry, {"v1", "v2"});
        m_fixture.store.error = StoreError::Unreachable;
        advance(seconds(5));
        CPPUNIT_ASSERT(mayBegin("v1"));
        CPPUNIT_ASSERT(!mayBegin("v2"));
    }

    // Of two instances that started at once, the one whose append came second was ready before it
    // had read what the other one had added, and refused streams for want of an endpoint.
    void settledInstanceMayBeginStreams()
    {
        add({"v1"});
        add({"v1"});
        const auto isSettled = [](const Instance &instance) {
            return instance.directory.isSettled();
        };
        const Instant end = m_fixture.now + milliseconds(500);
        while (!std::ranges::all_of(m_instances, isSettled)) {
            CPPUNIT_ASSERT(m_fixture.now < end);
            advance(milliseconds(50));
            for (const Instance &instance : m_instances) {
                CPPUNIT_ASSERT(
                        !isSettled(instance)
                        || instance.directory.mayBegin(m_fixture.service, SoftwareVersion("v1")));
            }
        }
    }

    // Guards against an instance that serves nothing because the store refuses its appends.
    void refusedAppendsDelaySettlingBriefly()
    {
        Instance &instance = add({"v1"});
        instance.directory.advance(true, {}, 5);
        CPPUNIT_ASSERT(m_fixture.store.answerNext());
        m_fixture.store.error = StoreError::Busy;
        advance(milliseconds(900));
        CPPUNIT_ASSERT(!instance.directory.isSettled());
        advance(milliseconds(300));
        CPPUNIT_ASSERT(instance.directory.isSettled());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionDirectoryTest);
