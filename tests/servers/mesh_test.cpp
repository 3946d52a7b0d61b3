#include "servers/mesh/mesh.h"
#include "servers/store/reader_role.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards what an entry instance believes of the others.
class MeshTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MeshTest);
    CPPUNIT_TEST(digestsOutOfOrderAreDropped);
    CPPUNIT_TEST(restartedPeerStartsAnew);
    CPPUNIT_TEST(neighboursOfAPeerAreTried);
    CPPUNIT_TEST(silentPeerIsNotLiveButCounts);
    CPPUNIT_TEST(digestsOfManyInstancesComeRarely);
    CPPUNIT_TEST(peerThatSendsRarelyIsLive);
    CPPUNIT_TEST(neighboursAreToldInTurn);
    CPPUNIT_TEST(newsOfPeersIsNotKept);
    CPPUNIT_TEST(holderOfTheDutiesIsKnown);
    CPPUNIT_TEST(steppedClocksOfAFewChangeNothing);
    CPPUNIT_TEST(twoInstancesRead);
    CPPUNIT_TEST(readerWithoutTheStoreIsReplaced);
    CPPUNIT_TEST(secondHandKnowledgeDoesNotCountAsRead);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now = instantFromMicroseconds(1'000'000'000);
    Mesh m_mesh{"m", "m:1"};

    Digest digest(const std::string &instance, std::uint64_t sequence) const
    {
        return {.instance = instance,
                .incarnation = instance + ".1",
                .address = instance + ":1",
                .sequence = sequence,
                .sentAt = m_now};
    }

    void hearReader(const std::string &name, Duration age)
    {
        Digest read = digest(name, 1);
        read.isReader = true;
        read.endpointsAge = age;
        read.configurationAge = age;
        m_mesh.received(read, m_now);
    }

    void hearMany(unsigned peers)
    {
        for (unsigned index = 0; index < peers; ++index)
            m_mesh.received(digest("p" + std::to_string(index), 1), m_now);
    }

public:
    void digestsOutOfOrderAreDropped()
    {
        CPPUNIT_ASSERT(m_mesh.received(digest("a", 2), m_now) != nullptr);
        CPPUNIT_ASSERT(m_mesh.received(digest("a", 1), m_now) == nullptr);
        CPPUNIT_ASSERT(m_mesh.received(digest("m", 1), m_now) == nullptr);
    }

    void restartedPeerStartsAnew()
    {
        m_mesh.received(digest("a", 9), m_now);
        m_now += seconds(1);
        Digest restarted = digest("a", 1);
        restarted.incarnation = "a.2";
        CPPUNIT_ASSERT(m_mesh.received(restarted, m_now) != nullptr);
    }

    void neighboursOfAPeerAreTried()
    {
        Digest first = digest("a", 1);
        first.neighbours = {"b:1", "m:1"};
        m_mesh.received(first, m_now);
        const std::vector<std::string> targets = m_mesh.targets(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, targets.size());
        CPPUNIT_ASSERT_EQUAL(3U, m_mesh.expectedCount());
    }

    void silentPeerIsNotLiveButCounts()
    {
        m_mesh.received(digest("a", 1), m_now);
        m_now += seconds(5);
        m_mesh.expire(m_now);
        CPPUNIT_ASSERT(!Mesh::isLive(m_mesh.peers().at("a"), m_now));
        CPPUNIT_ASSERT_EQUAL(2U, m_mesh.instanceCount());
        m_now += seconds(15);
        m_mesh.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(1U, m_mesh.instanceCount());
    }

    void digestsOfManyInstancesComeRarely()
    {
        for (const unsigned instances : {5U, 33U, 100U, 300U, 360U}) {
            hearMany(instances - 1);
            const double perSecond = instances / toSeconds(m_mesh.digestInterval(false));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(instances), perSecond <= 160);
            CPPUNIT_ASSERT(m_mesh.digestInterval(true) <= milliseconds(500));
            if (instances <= 33)
                CPPUNIT_ASSERT(m_mesh.digestInterval(false) == milliseconds(250));
        }
    }

    void peerThatSendsRarelyIsLive()
    {
        Digest rare = digest("a", 1);
        rare.interval = seconds(2);
        const Peer *peer = m_mesh.received(rare, m_now);
        CPPUNIT_ASSERT(Mesh::isLive(*peer, m_now + milliseconds(5900)));
        CPPUNIT_ASSERT(!Mesh::isSilent(*peer, m_now + milliseconds(3900)));
        CPPUNIT_ASSERT(Mesh::isSilent(*peer, m_now + milliseconds(4300)));
        CPPUNIT_ASSERT(!Mesh::isLive(*peer, m_now + milliseconds(6300)));
    }

    void neighboursAreToldInTurn()
    {
        hearMany(99);
        std::set<std::string> told;
        for (int digests = 0; digests < 13; ++digests) {
            for (const std::string &address : m_mesh.neighbours(m_now))
                told.insert(address);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{99}, told.size());
    }

    // 300 peers that each had told 600 endpoints took 55 MB.
    void newsOfPeersIsNotKept()
    {
        Digest telling = digest("a", 1);
        telling.news.resize(600);
        CPPUNIT_ASSERT(m_mesh.received(telling, m_now)->digest.news.empty());
    }

    void holderOfTheDutiesIsKnown()
    {
        Digest holder = digest("b", 1);
        holder.fencingNumber = 4;
        m_mesh.received(digest("a", 1), m_now);
        m_mesh.received(holder, m_now);
        CPPUNIT_ASSERT(m_mesh.dutyHolders(m_now) == std::vector<std::string>{"b:1"});
        CPPUNIT_ASSERT(m_mesh.dutyHolders(m_now + seconds(2)).empty());
    }

    void steppedClocksOfAFewChangeNothing()
    {
        for (const std::string name : {"a", "b", "c", "d"}) {
            Digest sent = digest(name, 1);
            if (name == "a")
                sent.sentAt += seconds(3);
            m_mesh.received(sent, m_now);
        }
        CPPUNIT_ASSERT(m_mesh.clockCorrection() == Duration::zero());
    }

    void twoInstancesRead()
    {
        const ReaderRole role("m");
        CPPUNIT_ASSERT(role.isReader(m_mesh, m_now));
        hearReader("a", milliseconds(300));
        CPPUNIT_ASSERT(role.isReader(m_mesh, m_now));
        hearReader("b", milliseconds(300));
        CPPUNIT_ASSERT(!role.isReader(m_mesh, m_now));
        // Readers that come later by name don't count.
        CPPUNIT_ASSERT(ReaderRole("a0").isReader(m_mesh, m_now));
    }

    void readerWithoutTheStoreIsReplaced()
    {
        hearReader("a", milliseconds(300));
        hearReader("b", seconds(3));
        CPPUNIT_ASSERT(ReaderRole("m").isReader(m_mesh, m_now));
    }

    // trouble-3 of sipka-fleet-grown: passive instances took each other for fresh, and nobody read
    // the store for 3 s (DRAIN).
    void secondHandKnowledgeDoesNotCountAsRead()
    {
        for (const std::string name : {"a", "b", "c"}) {
            Digest passive = digest(name, 1);
            passive.endpointsAge = milliseconds(100);
            passive.configurationAge = milliseconds(100);
            m_mesh.received(passive, m_now);
        }
        CPPUNIT_ASSERT(ReaderRole("m").isReader(m_mesh, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshTest);
