#include "servers/rollout/rollout_evidence.h"

#include "tests/servers/rollout_instance.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <numeric>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Guards that a slow or failing version shows in the sums of all instances, and that neither lost
/// digests nor restarts change the sums.
class RolloutEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutEvidenceTest);
    CPPUNIT_TEST(slowPlainAnswersShow);
    CPPUNIT_TEST(slowStreamsShow);
    CPPUNIT_TEST(hedgesDoNotHideSlowRuns);
    CPPUNIT_TEST(failuresShow);
    CPPUNIT_TEST(lostDigestsAndRestartsLoseNothing);
    CPPUNIT_TEST(newOrderStartsAnew);
    CPPUNIT_TEST(manyRecordsAreSentInTurn);
    CPPUNIT_TEST_SUITE_END();

    const ServiceId m_service{"flags"};
    Instant m_now = instantFromMicroseconds(1'000'000'000);
    AttemptNumber m_lastAttempt = 0;

    EvidenceRun start(const std::string &software, bool isStream = false,
                      std::uint32_t tokens = 0) const
    {
        return {.service = m_service,
                .software = SoftwareVersion(software),
                .routeHash = 5,
                .isStream = isStream,
                .uncachedTokens = tokens};
    }
    void answer(RolloutEvidence &evidence, const EvidenceRun &run, Duration time)
    {
        evidence.recordStart(++m_lastAttempt, run, m_now);
        m_now += time;
        evidence.recordAnswer(m_lastAttempt, m_now);
    }
    void stream(RolloutEvidence &evidence, const EvidenceRun &run, Duration first, Duration event)
    {
        evidence.recordStart(++m_lastAttempt, run, m_now);
        m_now += first;
        for (unsigned count = 0; count < 20; ++count) {
            evidence.recordEvents(m_lastAttempt, 1, m_now, m_now);
            m_now += event;
        }
        evidence.recordAnswer(m_lastAttempt, m_now);
    }
    VersionEvidence totalOf(const RolloutEvidence &evidence, const std::string &software) const
    {
        VersionEvidence sum;
        for (const VersionEvidence &total : evidence.totals(m_service)) {
            if (total.software == SoftwareVersion(software))
                addEvidence(sum, total);
        }
        return sum;
    }
    /// Returns how many times from this bucket on were counted.
    static std::uint32_t timesFrom(const VersionEvidence &evidence, std::size_t bucket)
    {
        return std::accumulate(evidence.times.begin() + static_cast<std::ptrdiff_t>(bucket),
                               evidence.times.end(), std::uint32_t{0});
    }
    static constexpr std::size_t twofold = 8; ///< Bucket of times that are twice the expected.

    /// Gives an instance some answers of the old version and begins a trial.
    void learn(RolloutInstance &instance)
    {
        for (unsigned count = 0; count < 20; ++count) {
            answer(instance.evidence, start("v1"), milliseconds(30));
            stream(instance.evidence, start("v1", true, 1000), milliseconds(60), milliseconds(20));
        }
        CPPUNIT_ASSERT(instance.evidence.totals(m_service).empty());
        instance.traffic.apply(rolloutState(RolloutPhase::Trial), m_now);
    }

public:
    // Guards against plain answers that are compared with another route, or with those of the slow
    // version itself.
    void slowPlainAnswersShow()
    {
        RolloutInstance instance(1);
        learn(instance);
        for (unsigned count = 0; count < 90; ++count) {
            answer(instance.evidence, start("v1"), milliseconds(33));
            answer(instance.evidence, start("v2"), milliseconds(120));
        }
        CPPUNIT_ASSERT_EQUAL(90U, totalOf(instance.evidence, "v2").answers);
        CPPUNIT_ASSERT_EQUAL(90U, timesFrom(totalOf(instance.evidence, "v2"), twofold));
        CPPUNIT_ASSERT_EQUAL(0U, timesFrom(totalOf(instance.evidence, "v1"), twofold));
        CPPUNIT_ASSERT_EQUAL(90U, timesFrom(totalOf(instance.evidence, "v1"), 0));
    }

    // Guards against long prompts that pass for a slow version, and against a version whose events
    // come slowly after a quick first one.
    void slowStreamsShow()
    {
        RolloutInstance instance(1);
        learn(instance);
        // 1,000 tokens take 60 ms, so 10,000 take 240.
        stream(instance.evidence, start("v1", true, 10'000), milliseconds(240), milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(0U, timesFrom(totalOf(instance.evidence, "v1"), twofold));
        CPPUNIT_ASSERT_EQUAL(2U, timesFrom(totalOf(instance.evidence, "v1"), 0));
        stream(instance.evidence, start("v2", true, 1000), milliseconds(60), milliseconds(80));
        CPPUNIT_ASSERT_EQUAL(1U, timesFrom(totalOf(instance.evidence, "v2"), twofold));
        stream(instance.evidence, start("v2", true, 1000), milliseconds(240), milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(2U, timesFrom(totalOf(instance.evidence, "v2"), twofold));
    }

    // Guards against a slow version whose runs are all cancelled, since a hedge at an old version
    // answers first. A caller that leaves early says nothing.
    void hedgesDoNotHideSlowRuns()
    {
        RolloutInstance instance(1);
        learn(instance);
        for (const unsigned ms : {20U, 90U}) {
            instance.evidence.recordStart(++m_lastAttempt, start("v2"), m_now);
            instance.evidence.recordCancel(m_lastAttempt, m_now + milliseconds(ms));
        }
        CPPUNIT_ASSERT_EQUAL(1U, totalOf(instance.evidence, "v2").answers);
        CPPUNIT_ASSERT_EQUAL(1U, timesFrom(totalOf(instance.evidence, "v2"), twofold));
        // A stream that stops after its first events.
        instance.evidence.recordStart(++m_lastAttempt, start("v2", true, 1000), m_now);
        instance.evidence.recordEvents(m_lastAttempt, 5, m_now + milliseconds(60),
                                       m_now + milliseconds(160));
        instance.evidence.recordCancel(m_lastAttempt, m_now + milliseconds(2700));
        CPPUNIT_ASSERT_EQUAL(2U, timesFrom(totalOf(instance.evidence, "v2"), twofold));
        CPPUNIT_ASSERT_EQUAL(0U, totalOf(instance.evidence, "v2").failures);
    }

    // Guards against failures that are not counted, or that count for the wrong version.
    void failuresShow()
    {
        RolloutInstance instance(1);
        learn(instance);
        instance.evidence.recordStart(++m_lastAttempt, start("v2"), m_now);
        instance.evidence.recordFailure(m_lastAttempt);
        instance.evidence.recordStart(++m_lastAttempt, start("v2"), m_now);
        instance.evidence.discard(m_lastAttempt);
        instance.evidence.recordFailure(m_lastAttempt);
        answer(instance.evidence, start("v1"), milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(1U, totalOf(instance.evidence, "v2").failures);
        CPPUNIT_ASSERT_EQUAL(1U, totalOf(instance.evidence, "v2").answers);
        CPPUNIT_ASSERT_EQUAL(0U, totalOf(instance.evidence, "v1").failures);
    }

    // Guards against sums that lose what a lost digest said, forget a dead peer, fall when a peer
    // restarts, or count a digest twice.
    void lostDigestsAndRestartsLoseNothing()
    {
        RolloutInstance holder(1);
        RolloutInstance peer(2);
        RolloutInstance restarted(3);
        holder.traffic.apply(rolloutState(RolloutPhase::Trial), m_now);
        learn(peer);
        learn(restarted);
        unsigned digests = 0;
        for (unsigned count = 0; count < 30; ++count) {
            answer(peer.evidence, start("v2"), milliseconds(30));
            const auto digest = peer.evidence.nextDigestEvidence();
            if (count % 3 != 2)
                continue; // lost
            for (unsigned copy = 0; copy < 2; ++copy, ++digests)
                holder.evidence.applyPeerEvidence("entry-2", "entry-2.1", digest);
        }
        CPPUNIT_ASSERT(digests > 0);
        CPPUNIT_ASSERT_EQUAL(30U, totalOf(holder.evidence, "v2").answers);
        for (unsigned count = 0; count < 4; ++count)
            answer(restarted.evidence, start("v2"), milliseconds(30));
        const auto late = restarted.evidence.nextDigestEvidence();
        holder.evidence.applyPeerEvidence("entry-2", "entry-2.2", late);
        CPPUNIT_ASSERT_EQUAL(34U, totalOf(holder.evidence, "v2").answers);
        CPPUNIT_ASSERT_EQUAL(34U, timesFrom(totalOf(holder.evidence, "v2"), 0));
    }

    // Guards against a verdict on a version by what an earlier order has shown, from this instance
    // or from a peer that has not heard of the new one.
    void newOrderStartsAnew()
    {
        RolloutInstance instance(1);
        RolloutInstance peer(2);
        learn(instance);
        learn(peer);
        answer(instance.evidence, start("v2"), milliseconds(30));
        answer(peer.evidence, start("v2"), milliseconds(30));
        const auto old = peer.evidence.nextDigestEvidence();
        instance.evidence.applyPeerEvidence("entry-2", "entry-2.1", old);
        CPPUNIT_ASSERT_EQUAL(2U, totalOf(instance.evidence, "v2").answers);
        instance.traffic.apply(rolloutState(RolloutPhase::Trial, 8), m_now);
        CPPUNIT_ASSERT(instance.evidence.totals(m_service).empty());
        instance.evidence.applyPeerEvidence("entry-2", "entry-2.1", old);
        answer(instance.evidence, start("v2"), milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(1U, totalOf(instance.evidence, "v2").answers);
        instance.traffic.apply(rolloutState(RolloutPhase::RolledBack, 8, 1), m_now);
        CPPUNIT_ASSERT(instance.evidence.nextDigestEvidence().empty());
        CPPUNIT_ASSERT_EQUAL(1U, totalOf(instance.evidence, "v2").answers);
    }

    // Guards against digests that don't fit into a datagram, and against routes that never arrive.
    void manyRecordsAreSentInTurn()
    {
        RolloutInstance instance(1);
        RolloutInstance holder(2);
        learn(instance);
        holder.traffic.apply(rolloutState(RolloutPhase::Trial), m_now);
        for (std::uint64_t route = 0; route < 100; ++route) {
            EvidenceRun run = start("v2");
            run.routeHash = route;
            answer(instance.evidence, run, milliseconds(30));
        }
        for (unsigned digest = 0; digest < 3; ++digest) {
            const auto records = instance.evidence.nextDigestEvidence();
            CPPUNIT_ASSERT(records.size() <= 48);
            holder.evidence.applyPeerEvidence("entry-1", "entry-1.1", records);
        }
        CPPUNIT_ASSERT_EQUAL(100U, totalOf(holder.evidence, "v2").answers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutEvidenceTest);
