#include "drivers/mesh/bulletin_codec.h"
#include "drivers/mesh/digest_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Guards that digests and bulletins are decoded as they were encoded, and that other bytes are
/// rejected.
class DigestCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DigestCodecTest);
    CPPUNIT_TEST(everyFieldArrives);
    CPPUNIT_TEST(rolloutsArrive);
    CPPUNIT_TEST(oddRolloutsAreSkipped);
    CPPUNIT_TEST(truncatedDigestsAreDropped);
    CPPUNIT_TEST(otherLayoutsAreDropped);
    CPPUNIT_TEST(bulletinArrives);
    CPPUNIT_TEST(corruptBytesDoNotCrash);
    CPPUNIT_TEST_SUITE_END();

    const Instant m_now = instantFromMicroseconds(1'000'000'000);

    RolloutState rollout() const
    {
        return {.service = ServiceId("model"),
                .target = SoftwareVersion("v2"),
                .phase = RolloutPhase::Shifting,
                .order = 0x100000007,
                .change = 3,
                .orderedAt = m_now - milliseconds(2000),
                .dueAt = m_now + milliseconds(10'000),
                .oldVersions = {SoftwareVersion("v1"), SoftwareVersion()}};
    }

    VersionEvidence evidence() const
    {
        return {.service = ServiceId("model"),
                .software = SoftwareVersion("v2"),
                .routeHash = 0x123456789abcdef,
                .order = 0x100000007,
                .answers = 300,
                .failures = 2,
                .times = {0, 1, 2, 3, 290, 5}};
    }

    Digest digest() const
    {
        return {.instance = "entry-1",
                .incarnation = "entry-1.7",
                .address = "10.0.0.9:7600",
                .zone = ZoneId("a"),
                .sequence = 12,
                .sentAt = m_now,
                .interval = milliseconds(1875),
                .revision = 8,
                .isStopping = true,
                .refusesNewRequests = true,
                .isReader = true,
                .isStoreBehind = true,
                .listEnd = 4711,
                .listChecksum = 0xfedcba9876543210,
                .fencingNumber = 3,
                .endpointLoads = {{.endpoint = EndpointId("i-1/17"),
                                   .running = 2,
                                   .promptTokens = 300,
                                   .isSuspect = true,
                                   .remainingMs = 1900}},
                .accountUses = {{.account = AccountId("club"),
                                 .requested = 900,
                                 .admitted = 800,
                                 .byUrgency = {{.urgency = 0, .requested = 200},
                                               {.urgency = 2, .requested = 300},
                                               {.urgency = 5, .requested = 400}}}},
                .serviceWork = {{.service = ServiceId("model"),
                                 .promptTokens = 50,
                                 .outputTokens = 60}},
                .usageCounts = {{.window = 77, .account = AccountId("club"), .requests = 5}},
                .partCrashes = {{.part = 0x1122334455667788,
                                 .endpoint = EndpointId("i-2/17"),
                                 .position = 1,
                                 .age = milliseconds(700)}},
                .soundParts = {{.part = 0x99, .age = milliseconds(20)}},
                .partTrials = {{.part = 0x9a, .age = milliseconds(25)}},
                .liveEndpoints = {{.endpoint = EndpointId("i-3/17"), .age = milliseconds(10)}},
                .endpointLimits = {{.endpoint = EndpointId("i-4/17"),
                                    .perSecond = 1.5,
                                    .age = milliseconds(60)},
                                   {.endpoint = EndpointId("i-5/17")}},
                .rollouts = {rollout()},
                .versionEvidence = {evidence()},
                .endpointSpeeds = {{.endpoint = EndpointId("i-6/17"),
                                    .readingLogRatio = -0.36,
                                    .readingWeight = 2.5,
                                    .decodingLogRatio = 0.52,
                                    .decodingWeight = 1}},
                .configurationAge = milliseconds(40),
                .endpointsAge = milliseconds(30),
                .peerAddresses = {"10.0.0.8:7600"}};
    }

public:
    void everyFieldArrives()
    {
        const Digest sent = digest();
        const auto received = decodeDigest(encodeDigest(sent));
        CPPUNIT_ASSERT(received.has_value());
        // Encoding is deterministic, so equal bytes mean equal fields.
        CPPUNIT_ASSERT(encodeDigest(*received) == encodeDigest(sent));
        CPPUNIT_ASSERT(received->interval == sent.interval);
        CPPUNIT_ASSERT(received->refusesNewRequests && received->isStopping && received->isReader
                       && received->isStoreBehind);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{300}, received->endpointLoads.at(0).promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1900}, received->endpointLoads.at(0).remainingMs);
        const Digest::EndpointSpeed &speed = received->endpointSpeeds.at(0);
        CPPUNIT_ASSERT(speed.endpoint == EndpointId("i-6/17"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(-0.36, speed.readingLogRatio, 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, speed.readingWeight, 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.52, speed.decodingLogRatio, 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.decodingWeight, 0.05);
        CPPUNIT_ASSERT(received->endpointsAge == sent.endpointsAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, received->accountUses.at(0).byUrgency.size());
        const Digest::UrgencyUse &leastUrgent = received->accountUses.at(0).byUrgency.at(2);
        CPPUNIT_ASSERT_EQUAL(5U, leastUrgent.urgency);
        CPPUNIT_ASSERT_EQUAL(400.0, leastUrgent.requested);
        CPPUNIT_ASSERT_EQUAL(sent.listEnd, received->listEnd);
        CPPUNIT_ASSERT_EQUAL(sent.listChecksum, received->listChecksum);
        CPPUNIT_ASSERT_EQUAL(sent.partCrashes.at(0).part, received->partCrashes.at(0).part);
        CPPUNIT_ASSERT(received->partCrashes.at(0).endpoint == sent.partCrashes.at(0).endpoint);
        CPPUNIT_ASSERT(received->endpointLimits.at(0).perSecond == 1.5);
        CPPUNIT_ASSERT(!received->endpointLimits.at(1).perSecond);
        CPPUNIT_ASSERT(received->soundParts.at(0).age == milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(PartHash{0x9a}, received->partTrials.at(0).part);
        CPPUNIT_ASSERT(received->partTrials.at(0).age == milliseconds(25));
        CPPUNIT_ASSERT(received->liveEndpoints.at(0).endpoint == EndpointId("i-3/17"));
        CPPUNIT_ASSERT(received->peerAddresses == sent.peerAddresses);
    }

    void rolloutsArrive()
    {
        const auto received = decodeDigest(encodeDigest(digest()));
        const RolloutState &state = received->rollouts.at(0);
        CPPUNIT_ASSERT(state.service == rollout().service && state.target == rollout().target);
        CPPUNIT_ASSERT(state.phase == RolloutPhase::Shifting && state.change == 3);
        CPPUNIT_ASSERT_EQUAL(rollout().order, state.order);
        CPPUNIT_ASSERT(state.orderedAt == rollout().orderedAt && state.dueAt == rollout().dueAt);
        CPPUNIT_ASSERT(state.oldVersions == rollout().oldVersions);
        const VersionEvidence &counts = received->versionEvidence.at(0);
        CPPUNIT_ASSERT(counts.service == evidence().service);
        CPPUNIT_ASSERT(counts.software == evidence().software);
        CPPUNIT_ASSERT_EQUAL(evidence().routeHash, counts.routeHash);
        CPPUNIT_ASSERT_EQUAL(evidence().order, counts.order);
        CPPUNIT_ASSERT(counts.answers == 300 && counts.failures == 2);
        CPPUNIT_ASSERT(counts.times == evidence().times);
    }

    // Guards against memory taken by datagrams of others, and against phases that no code knows.
    void oddRolloutsAreSkipped()
    {
        Digest sent = digest();
        sent.rollouts.assign(1000, rollout());
        sent.rollouts[0].service = ServiceId();
        sent.rollouts[1].target = SoftwareVersion(std::string(1000, 'v'));
        sent.rollouts[2].oldVersions.assign(100, SoftwareVersion("v1"));
        sent.rollouts[3].phase = static_cast<RolloutPhase>(9);
        sent.versionEvidence.assign(1000, evidence());
        sent.versionEvidence[0].software = SoftwareVersion(std::string(1000, 'v'));
        sent.versionEvidence[1].failures = 5000;
        const auto received = decodeDigest(encodeDigest(sent));
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, received->rollouts.size());
        for (const RolloutState &state : received->rollouts)
            CPPUNIT_ASSERT(state.service == rollout().service && state.target == rollout().target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{256}, received->versionEvidence.size());
        CPPUNIT_ASSERT_EQUAL(300U, received->versionEvidence.at(0).failures);
    }

    void truncatedDigestsAreDropped()
    {
        const std::string bytes = encodeDigest(digest());
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!decodeDigest(std::string_view(bytes).substr(0, size)));
    }

    void otherLayoutsAreDropped()
    {
        std::string bytes = encodeDigest(digest());
        // The first byte is the tag of the layout field, the second its value.
        CPPUNIT_ASSERT_EQUAL('\x07', bytes.at(1));
        bytes.at(1) = '\x06';
        CPPUNIT_ASSERT(!decodeDigest(bytes));
    }

    Bulletin bulletin() const
    {
        const EndpointListing listing{.instance = "i-1",
                                      .startedMs = 17,
                                      .sequence = 4,
                                      .logOffset = 90,
                                      .service = ServiceId("model"),
                                      .address = "10.0.0.1:80",
                                      .zone = ZoneId("b"),
                                      .slots = 32,
                                      .isLeaving = true,
                                      .isReclaimable = true,
                                      .leavesAt = m_now + milliseconds(900),
                                      .coldUntil = m_now};
        return {.sentAt = m_now,
                .needsZoneRelay = true,
                .updates = {{.listing = listing,
                             .state = EndpointState::Leaving,
                             .usableUntil = m_now + milliseconds(5)}}};
    }

    void bulletinArrives()
    {
        const Bulletin sent = bulletin();
        const std::string bytes = encodeBulletin(sent);
        const auto received = decodeBulletin(bytes);
        CPPUNIT_ASSERT(received && encodeBulletin(*received) == bytes);
        CPPUNIT_ASSERT(received->needsZoneRelay && received->sentAt == m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{90}, received->updates.at(0).listing.logOffset);
        CPPUNIT_ASSERT(received->updates.at(0).listing.leavesAt == m_now + milliseconds(900));
        CPPUNIT_ASSERT(received->updates.at(0).state == EndpointState::Leaving);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!decodeBulletin(std::string_view(bytes).substr(0, size)));
        CPPUNIT_ASSERT(!decodeDigest(bytes));
        CPPUNIT_ASSERT(!decodeBulletin(encodeDigest(digest())));
    }

    // Corrupt bytes give, for example, fields of another type or lengths beyond the end.
    void corruptBytesDoNotCrash()
    {
        for (const std::string &intact : {encodeDigest(digest()), encodeBulletin(bulletin())}) {
            for (std::size_t index = 0; index < intact.size(); ++index) {
                for (int value = 0; value < 256; ++value) {
                    std::string bytes = intact;
                    bytes.at(index) = static_cast<char>(value);
                    decodeDigest(bytes);
                    decodeBulletin(bytes);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestCodecTest);
