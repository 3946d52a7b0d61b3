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

/// Guards what an entry instance concludes about the others from their digests.
class MeshTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MeshTest);
    CPPUNIT_TEST(digestsOutOfOrderAreDropped);
    CPPUNIT_TEST(digestsOfARestartedPeerAreApplied);
    CPPUNIT_TEST(forgedDigestsStayWithinTheMemory);
    CPPUNIT_TEST(forgedAddressesAreBounded);
    CPPUNIT_TEST(addressesFromAPeerBecomeTargets);
    CPPUNIT_TEST(silentPeerIsNotLiveButIsCounted);
    CPPUNIT_TEST(digestIntervalGrowsWithTheInstances);
    CPPUNIT_TEST(peerWithALongIntervalIsLive);
    CPPUNIT_TEST(peerAddressesAreSharedInTurn);
    CPPUNIT_TEST(bulletinsAmongManyGoToRelaysInEachZone);
    CPPUNIT_TEST(bulletinsAmongFewGoToAll);
    CPPUNIT_TEST(instanceWithoutLivePeersIsNotConnected);
    CPPUNIT_TEST(dutyHolderIsKnown);
    CPPUNIT_TEST(steppedClockOfOnePeerIsIgnored);
    CPPUNIT_TEST(twoInstancesRead);
    CPPUNIT_TEST(readerWithoutTheStoreIsReplaced);
    CPPUNIT_TEST(ageOfANonReaderDoesNotCountAsRead);
    CPPUNIT_TEST(firstInstanceOfAZoneStandsInForOldData);
    CPPUNIT_TEST(fewInstancesTakeOverFromSilentReaders);
    CPPUNIT_TEST(digestIsCompleteAfterANewPeer);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now = instantFromMicroseconds(1'000'000'000);
    Mesh m_mesh{"m", "m:1"};
    std::uint64_t m_sequence = 0;

    std::uint64_t nextSequence() { return ++m_sequence; }

    /// Returns names in ascending order, which is the order of preference as readers.
    static std::vector<std::string> orderedNames(unsigned count)
    {
        std::vector<std::string> names;
        for (unsigned index = 0; index < count; ++index)
            names.push_back("n" + std::to_string(1000 + index));
        return names;
    }

    Digest digest(const std::string &instance, std::uint64_t sequence) const
    {
        return {.instance = instance,
                .incarnation = instance + ".1",
                .address = instance + ":1",
                .sequence = sequence,
                .sentAt = m_now};
    }

    void receiveFromReader(const std::string &name, Duration age)
    {
        Digest read = digest(name, nextSequence());
        read.isReader = true;
        read.endpointsAge = age;
        read.configurationAge = age;
        m_mesh.applyDigest(read, m_now);
    }

    /// Bounds of which that by the drain time is the shorter one.
    static ReaderRole::Bounds bounds(Duration drainTime)
    {
        return {.drainTime = drainTime, .configurationTime = drainTime + seconds(1)};
    }

    /// Whether an instance that has just started reads the store.
    bool isReader(const std::string &instance) const
    {
        ReaderRole role(instance, ZoneId(), bounds(seconds(2)));
        role.advance(m_mesh, m_now);
        return role.isReader();
    }

    void receiveFromPeers(unsigned peers)
    {
        for (unsigned index = 0; index < peers; ++index)
            m_mesh.applyDigest(digest("p" + std::to_string(index), 1), m_now);
    }

public:
    void digestsOutOfOrderAreDropped()
    {
        CPPUNIT_ASSERT(m_mesh.applyDigest(digest("a", 2), m_now) != nullptr);
        CPPUNIT_ASSERT(m_mesh.applyDigest(digest("a", 1), m_now) == nullptr);
        CPPUNIT_ASSERT(m_mesh.applyDigest(digest("m", 1), m_now) == nullptr);
    }

    void digestsOfARestartedPeerAreApplied()
    {
        m_mesh.applyDigest(digest("a", 9), m_now);
        m_now += seconds(1);
        Digest restarted = digest("a", 1);
        restarted.incarnation = "a.2";
        CPPUNIT_ASSERT(m_mesh.applyDigest(restarted, m_now) != nullptr);
    }

    // Each name that a digest gives is kept for a time, so forged ones could fill the memory.
    void forgedDigestsStayWithinTheMemory()
    {
        constexpr std::size_t maxBytes = 100'000;
        m_mesh.setMaxDigestBytes(maxBytes);
        CPPUNIT_ASSERT(m_mesh.applyDigest(digest("a", 1), m_now) != nullptr);
        for (int number = 0; number < 100; ++number) {
            Digest forged = digest("forged" + std::to_string(number), 1);
            forged.endpointLoads.resize(1000);
            m_mesh.applyDigest(forged, m_now);
        }
        CPPUNIT_ASSERT(m_mesh.peers().size() * 1000 * sizeof(Digest::EndpointLoad)
                       < maxBytes + 2000 * sizeof(Digest::EndpointLoad));
        CPPUNIT_ASSERT(m_mesh.refusedDigests() > 0);
        // A known peer goes on, and new ones are taken when the forged ones have expired.
        CPPUNIT_ASSERT(m_mesh.applyDigest(digest("a", 2), m_now) != nullptr);
        m_now += std::chrono::seconds(20);
        m_mesh.expire(m_now);
        CPPUNIT_ASSERT(m_mesh.peers().empty());
        Digest late = digest("b", 1);
        late.endpointLoads.resize(1000);
        CPPUNIT_ASSERT(m_mesh.applyDigest(late, m_now) != nullptr);
    }

    void forgedAddressesAreBounded()
    {
        for (int number = 0; number < 10'000; ++number)
            m_mesh.addCandidate("forged:" + std::to_string(number), m_now);
        CPPUNIT_ASSERT(m_mesh.targets(m_now).size() < 5000);
    }

    void addressesFromAPeerBecomeTargets()
    {
        Digest first = digest("a", 1);
        first.peerAddresses = {"b:1", "m:1"};
        m_mesh.applyDigest(first, m_now);
        const std::vector<std::string> targets = m_mesh.targets(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, targets.size());
        CPPUNIT_ASSERT_EQUAL(3U, m_mesh.possibleInstanceCount());
    }

    void silentPeerIsNotLiveButIsCounted()
    {
        m_mesh.applyDigest(digest("a", 1), m_now);
        m_now += seconds(5);
        m_mesh.expire(m_now);
        CPPUNIT_ASSERT(!Mesh::isLive(m_mesh.peers().at("a"), m_now));
        CPPUNIT_ASSERT_EQUAL(2U, m_mesh.instanceCount());
        m_now += seconds(15);
        m_mesh.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(1U, m_mesh.instanceCount());
    }

    void digestIntervalGrowsWithTheInstances()
    {
        for (const unsigned instances : {5U, 33U, 100U, 300U, 360U}) {
            receiveFromPeers(instances - 1);
            const double perSecond = instances / toSeconds(m_mesh.digestInterval(false));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(instances), perSecond <= 160);
            CPPUNIT_ASSERT(m_mesh.digestInterval(true) <= milliseconds(500));
            if (instances <= 33)
                CPPUNIT_ASSERT(m_mesh.digestInterval(false) == milliseconds(250));
        }
    }

    void peerWithALongIntervalIsLive()
    {
        Digest infrequent = digest("a", 1);
        infrequent.interval = seconds(2);
        const Peer *peer = m_mesh.applyDigest(infrequent, m_now);
        CPPUNIT_ASSERT(Mesh::isLive(*peer, m_now + milliseconds(5900)));
        CPPUNIT_ASSERT(!Mesh::isSilent(*peer, m_now + milliseconds(3900)));
        CPPUNIT_ASSERT(Mesh::isSilent(*peer, m_now + milliseconds(4300)));
        CPPUNIT_ASSERT(!Mesh::isLive(*peer, m_now + milliseconds(6300)));
    }

    void peerAddressesAreSharedInTurn()
    {
        receiveFromPeers(99);
        std::set<std::string> shared;
        for (int digests = 0; digests < 13; ++digests) {
            for (const std::string &address : m_mesh.nextPeerAddresses(m_now))
                shared.insert(address);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{99}, shared.size());
    }

    // Bulletins of 45 KB to 117 peers kept a link of 24 Mbit/s busy for two seconds, so that
    // digests were late.
    void bulletinsAmongManyGoToRelaysInEachZone()
    {
        for (unsigned index = 0; index < 117; ++index) {
            Digest sent = digest("p" + std::to_string(index), 1);
            sent.zone = ZoneId("z" + std::to_string(index % 6));
            m_mesh.applyDigest(sent, m_now);
        }
        CPPUNIT_ASSERT(m_mesh.usesRelays());
        std::set<std::string> relays;
        for (std::uint64_t round = 0; round < 3; ++round) {
            const auto targets = m_mesh.bulletinTargets(round, m_now);
            CPPUNIT_ASSERT_EQUAL(std::size_t{12}, targets.size());
            relays.insert(targets.begin(), targets.end());
        }
        // Each round uses other relays.
        CPPUNIT_ASSERT(relays.size() > 24);
        CPPUNIT_ASSERT_EQUAL(std::size_t{19}, m_mesh.livePeersIn(ZoneId("z5"), m_now).size());
        CPPUNIT_ASSERT(m_mesh.bulletinTargets(0, m_now + seconds(9)).empty());
    }

    void bulletinsAmongFewGoToAll()
    {
        receiveFromPeers(29);
        CPPUNIT_ASSERT(!m_mesh.usesRelays());
        CPPUNIT_ASSERT_EQUAL(std::size_t{29}, m_mesh.bulletinTargets(0, m_now).size());
    }

    // An instance that was cut off from the others counted as a reader although it could send the
    // changes of endpoints to nobody, so that others used endpoints that had ended.
    void instanceWithoutLivePeersIsNotConnected()
    {
        CPPUNIT_ASSERT(m_mesh.isConnected(m_now));
        receiveFromPeers(4);
        CPPUNIT_ASSERT(m_mesh.isConnected(m_now));
        m_now += seconds(4);
        CPPUNIT_ASSERT(!m_mesh.isConnected(m_now));
        // The silent peers may still receive its bulletins.
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_mesh.bulletinTargets(0, m_now).size());
    }

    void digestIsCompleteAfterANewPeer()
    {
        m_mesh.applyDigest(digest("a", 1), m_now);
        while (m_mesh.consumeCompleteDue()) { }
        m_mesh.applyDigest(digest("a", 2), m_now);
        CPPUNIT_ASSERT(!m_mesh.consumeCompleteDue());
        m_mesh.applyDigest(digest("b", 1), m_now);
        CPPUNIT_ASSERT(m_mesh.consumeCompleteDue());
        CPPUNIT_ASSERT(!m_mesh.consumeCompleteDue());
        // A peer that was silent may have missed digests.
        m_now += seconds(5);
        m_mesh.applyDigest(digest("a", 3), m_now);
        CPPUNIT_ASSERT(m_mesh.consumeCompleteDue());
    }

    void dutyHolderIsKnown()
    {
        Digest holder = digest("b", 1);
        holder.fencingNumber = 4;
        m_mesh.applyDigest(digest("a", 1), m_now);
        m_mesh.applyDigest(holder, m_now);
        CPPUNIT_ASSERT(m_mesh.dutyHolders(m_now) == std::vector<std::string>{"b:1"});
        CPPUNIT_ASSERT(m_mesh.dutyHolders(m_now + seconds(2)).empty());
    }

    void steppedClockOfOnePeerIsIgnored()
    {
        for (const std::string name : {"a", "b", "c", "d"}) {
            Digest sent = digest(name, 1);
            if (name == "a")
                sent.sentAt += seconds(3);
            m_mesh.applyDigest(sent, m_now);
        }
        CPPUNIT_ASSERT(m_mesh.clockCorrection() == Duration::zero());
    }

    void twoInstancesRead()
    {
        CPPUNIT_ASSERT(isReader("m"));
        receiveFromReader("a", milliseconds(300));
        CPPUNIT_ASSERT(isReader("m"));
        receiveFromReader("b", milliseconds(300));
        CPPUNIT_ASSERT(!isReader("m"));
        // Only readers whose names sort earlier count.
        CPPUNIT_ASSERT(isReader("a0"));
    }

    void readerWithoutTheStoreIsReplaced()
    {
        receiveFromReader("a", milliseconds(300));
        receiveFromReader("b", seconds(3));
        CPPUNIT_ASSERT(isReader("m"));
    }

    // Readers that the store alone had refused took an entry that was dropped for one that lapsed.
    void firstInstanceOfAZoneStandsInForOldData()
    {
        for (const char *name : {"a", "b", "c"})
            receiveFromReader(name, milliseconds(100));
        ReaderRole first("p", ZoneId("z"), bounds(seconds(4)));
        ReaderRole other("q", ZoneId(), bounds(seconds(4)));
        const auto receiveAndAdvance = [&](Duration age) {
            for (const char *name : {"a", "b", "c"})
                receiveFromReader(name, age);
            for (ReaderRole *role : {&first, &other})
                role->advance(m_mesh, m_now);
            m_now += milliseconds(100);
        };
        receiveAndAdvance(milliseconds(100));
        CPPUNIT_ASSERT(!first.isReader() && !other.isReader());
        receiveAndAdvance(milliseconds(1900));
        CPPUNIT_ASSERT(!first.isReader());
        receiveAndAdvance(milliseconds(2000));
        CPPUNIT_ASSERT(first.isReader() && !other.isReader());
        receiveAndAdvance(milliseconds(100));
        CPPUNIT_ASSERT(!first.isReader() && !other.isReader());
    }

    // One late digest of a reader made a hundred instances read the store at once.
    void fewInstancesTakeOverFromSilentReaders()
    {
        const std::vector<std::string> names = orderedNames(100);
        const auto receiveFromOthers = [&] {
            for (std::size_t index = 2; index < names.size(); ++index)
                m_mesh.applyDigest(digest(names.at(index), nextSequence()), m_now);
        };
        std::vector<ReaderRole> roles;
        for (std::size_t index = 2; index < names.size(); ++index)
            roles.emplace_back(names.at(index), ZoneId(), bounds(seconds(2)));
        const auto countReaders = [&] {
            for (ReaderRole &role : roles)
                role.advance(m_mesh, m_now);
            return std::ranges::count_if(roles, &ReaderRole::isReader);
        };
        for (const std::string &name : {names.at(0), names.at(1)})
            receiveFromReader(name, milliseconds(300));
        receiveFromOthers();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, countReaders());
        // Both readers fall silent, and the age of their last digests grows.
        for (int step = 0; step < 30; ++step) {
            m_now += milliseconds(100);
            receiveFromOthers();
            if (countReaders() >= 2)
                break;
        }
        const auto readerCount = countReaders();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(readerCount), readerCount >= 2 && readerCount <= 5);
        // The new readers don't announce their role in this test, as if they were silent too, so in
        // the end all instances read.
        m_now += milliseconds(700);
        receiveFromOthers();
        CPPUNIT_ASSERT_EQUAL(static_cast<std::ptrdiff_t>(roles.size()), countReaders());
    }

    // Instances that do not read the store took the ages in each other's digests for those of
    // readers, so that for 3 s no instance read the store and ended endpoints were used.
    void ageOfANonReaderDoesNotCountAsRead()
    {
        for (const std::string name : {"a", "b", "c"}) {
            Digest passive = digest(name, 1);
            passive.endpointsAge = milliseconds(100);
            passive.configurationAge = milliseconds(100);
            m_mesh.applyDigest(passive, m_now);
        }
        CPPUNIT_ASSERT(isReader("m"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshTest);
