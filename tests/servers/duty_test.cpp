#include "core/store_error.h"
#include "servers/duties/duty_election.h"
#include "servers/duties/usage_reporter.h"
#include "servers/metering/usage_meter.h"
#include "tests/servers/memory_log.h"
#include "tests/servers/recording_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Simulates the platform's side of the duties: keeps the highest fencing number and all accepted
/// reports.
class FakeDuties : public DutyPort
{
public:
    void reportUsage(std::uint64_t fencingNumber, WindowNumber window, const UsageCounts &counts,
                     Done done) override
    {
        if (fencingNumber < highest) {
            done(DutyOutcome::Fenced);
            return;
        }
        highest = fencingNumber;
        reports[window].insert(counts);
        done(losesAnswers ? DutyOutcome::Unknown : DutyOutcome::Done);
    }

    void orderEngines(std::uint64_t /*fencingNumber*/, const EngineOrder & /*order*/,
                      Done done) override
    {
        done(DutyOutcome::Done);
    }

    std::uint64_t highest = 0;
    bool losesAnswers = false;
    std::map<WindowNumber, std::set<UsageCounts>> reports;
};

} // namespace

/// Simulates several entry instances with one store, and checks that one at a time holds the duties
/// and that no window is ever reported with two different counts.
class DutyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DutyTest);
    CPPUNIT_TEST(oneInstanceHoldsTheDuties);
    CPPUNIT_TEST(silentHolderIsReplacedAfterTheLease);
    CPPUNIT_TEST(successorHasAHigherFencingNumber);
    CPPUNIT_TEST(fencedHolderGivesUpTheDuties);
    CPPUNIT_TEST(holderAnnouncesItselfBeforeItActs);
    CPPUNIT_TEST(holderThatIsCutOffStopsBeforeItsSuccessorActs);
    CPPUNIT_TEST(frozenHolderDoesNotActWhenItResumes);
    CPPUNIT_TEST(holderFrozenBetweenTwoStepsOfAReportDoesNotSendIt);
    CPPUNIT_TEST(holderThatCannotReachTheStoreStopsActing);
    CPPUNIT_TEST(restartedHolderClaimsAgain);
    CPPUNIT_TEST(claimWithLostAnswerIsNotUsed);
    CPPUNIT_TEST(countsOfAllInstancesAreReported);
    CPPUNIT_TEST(manyInstancesSendCountsByDigestOnly);
    CPPUNIT_TEST(successorReportsTheFixedCounts);
    CPPUNIT_TEST(countReceivedWhileASumIsStoredDoesNotChangeItsReport);
    CPPUNIT_TEST(clockThatJumpsAndReturnsDoesNotChangeAReport);
    CPPUNIT_TEST(clockThatJumpsFarBackDoesNotChangeAReport);
    CPPUNIT_TEST(countsStoredWithoutDigestsAreReported);
    CPPUNIT_TEST(lostReportIsRepeatedWithTheSameCounts);
    CPPUNIT_TEST(reportWaitsForTheStore);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration windowLength = seconds(5);
    DutyElection::Rules m_rules{.lease = seconds(3)};

    /// A time at which an instance was allowed to call the platform.
    struct AllowedAction
    {
        Instant at;
        std::string instance;
        std::uint64_t fencingNumber = 0;
    };
    std::vector<AllowedAction> m_allowedActions;
    std::set<std::string> m_isolated; ///< Instances that exchange no digests with the others.

    struct Instance
    {
        std::string name;
        int startCount = 0;
        bool isAlive = true;
        std::uint64_t sequence = 0;
        std::unique_ptr<Mesh> mesh;
        std::unique_ptr<UsageMeter> meter;
        std::unique_ptr<DutyElection> election;
        std::unique_ptr<UsageReporter> reporter;
    };

    Instant m_now = instantFromMicroseconds(1'000'000'000'000);
    MemoryLog m_store;
    RecordingLog m_log;
    FakeDuties m_duties;
    std::vector<std::unique_ptr<Instance>> m_instances;
    bool m_digestsAreLost = false;

    void start(Instance &instance)
    {
        ++instance.startCount;
        instance.isAlive = true;
        instance.sequence = 0;
        const std::string incarnation = instance.name + "." + std::to_string(instance.startCount);
        instance.mesh = std::make_unique<Mesh>(instance.name, instance.name);
        instance.meter = std::make_unique<UsageMeter>(incarnation, windowLength);
        instance.election = std::make_unique<DutyElection>(
                DutyElection::Identity{.instance = instance.name, .incarnation = incarnation},
                m_rules, m_store, [this] { return m_now; }, m_log);
        instance.reporter = std::make_unique<UsageReporter>(
                incarnation,
                UsageReporter::Timing{.settleDelay = seconds(1), .reportDeadline = seconds(10)},
                *instance.meter, m_store, m_duties, [this] { return m_now; },
                [&instance] { return instance.election->fencingNumber(); },
                [&instance] { instance.election->onFenced(); }, m_log);
    }

    void sendDigest(Instance &sender)
    {
        const Digest digest{.instance = sender.name,
                            .incarnation = sender.name + "." + std::to_string(sender.startCount),
                            .address = sender.name,
                            .sequence = ++sender.sequence,
                            .sentAt = m_now,
                            .fencingNumber = sender.election->announcedFencingNumber(),
                            .usageCounts = sender.meter->recentOwnCounts()};
        for (const auto &receiver : m_instances) {
            if (receiver.get() == &sender || !receiver->isAlive || m_digestsAreLost
                || m_isolated.contains(sender.name) || m_isolated.contains(receiver->name))
                continue;
            if (const Peer *peer = receiver->mesh->applyDigest(digest, m_now))
                receiver->meter->applyPeerDigest(*peer);
        }
    }

    void advance(Duration duration)
    {
        const Instant end = m_now + duration;
        for (int tick = 0; m_now < end; ++tick) {
            m_now += milliseconds(100);
            for (const auto &instance : m_instances) {
                if (!instance->isAlive)
                    continue;
                if (tick % 3 == 0)
                    sendDigest(*instance);
                instance->mesh->expire(m_now);
                instance->election->advance(*instance->mesh);
                if (const std::uint64_t number = instance->election->fencingNumber(); number != 0) {
                    m_allowedActions.push_back(
                            {.at = m_now, .instance = instance->name, .fencingNumber = number});
                }
                instance->reporter->advance(*instance->mesh);
            }
            m_store.answerPending();
        }
    }

    void addInstance(const std::string &name)
    {
        m_instances.push_back(std::make_unique<Instance>());
        m_instances.back()->name = name;
        start(*m_instances.back());
    }

    std::vector<Instance *> holders()
    {
        std::vector<Instance *> holders;
        for (const auto &instance : m_instances) {
            if (instance->isAlive && instance->election->fencingNumber() != 0)
                holders.push_back(instance.get());
        }
        return holders;
    }

    Instance &holder()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holders().size());
        return *holders().front();
    }

    std::uint32_t reported(WindowNumber window)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_duties.reports[window].size());
        return m_duties.reports[window].begin()->at(AccountId("club"));
    }

public:
    void setUp() override
    {
        for (const std::string name : {"a", "b", "c"})
            addInstance(name);
        advance(seconds(4));
    }

    void oneInstanceHoldsTheDuties()
    {
        holder();
        advance(seconds(30));
        holder();
        // Nothing but usage is written while the holder is alive.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.topics["keyed.duties"].size());
    }

    void silentHolderIsReplacedAfterTheLease()
    {
        Instance &first = holder();
        first.isAlive = false;
        advance(milliseconds(2500));
        CPPUNIT_ASSERT(holders().empty());
        advance(seconds(3));
        CPPUNIT_ASSERT(&holder() != &first);
    }

    void successorHasAHigherFencingNumber()
    {
        Instance &first = holder();
        const std::uint64_t number = first.election->fencingNumber();
        first.isAlive = false;
        advance(seconds(6));
        CPPUNIT_ASSERT(holder().election->fencingNumber() > number);
    }

    // A frozen holder resumes after its successor has acted.
    void fencedHolderGivesUpTheDuties()
    {
        Instance &first = holder();
        first.isAlive = false;
        advance(seconds(8));
        Instance &second = holder();
        first.isAlive = true;
        first.meter->countRequest(AccountId("club"), m_now - windowLength);
        first.reporter->advance(*first.mesh);
        m_store.answerPending();
        advance(seconds(10));
        CPPUNIT_ASSERT(&holder() == &second);
        for (const auto &[window, counts] : m_duties.reports)
            CPPUNIT_ASSERT(counts.size() <= 1);
    }

    /// Restarts all instances on a platform that accepts any fencing number.
    void restartWithoutFencingChecks()
    {
        m_rules.platformChecksFencing = false;
        m_store.topics.clear();
        for (const auto &instance : m_instances)
            start(*instance);
        advance(seconds(8));
        m_allowedActions.clear();
    }

    // Guards against a holder that does not announce its fencing number before it may act:
    // instances with smaller names claimed the duties again.
    void holderAnnouncesItselfBeforeItActs()
    {
        m_rules.platformChecksFencing = false;
        m_store.topics.clear();
        for (const auto &instance : m_instances) {
            start(*instance);
            instance->isAlive = instance->name == "b";
        }
        while (m_store.topics["keyed.duties"].empty())
            advance(milliseconds(100));
        for (const auto &instance : m_instances)
            instance->isAlive = true;
        advance(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.topics["keyed.duties"].size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), holder().name);
    }

    /// Checks that no instance acts with a lower fencing number than an earlier holder, or soon
    /// after another holder.
    void checkOneInstanceActsAtATime()
    {
        CPPUNIT_ASSERT(!m_allowedActions.empty());
        for (std::size_t index = 1; index < m_allowedActions.size(); ++index) {
            const AllowedAction &before = m_allowedActions.at(index - 1);
            const AllowedAction &act = m_allowedActions.at(index);
            if (act.instance == before.instance)
                continue;
            CPPUNIT_ASSERT(act.fencingNumber > before.fencingNumber);
            // A call of the previous holder may take a while to arrive.
            CPPUNIT_ASSERT(act.at - before.at >= milliseconds(700));
        }
    }

    // Guards against a holder that is cut off from the others and acts at the same time as its
    // successor, with a lower number after a higher one.
    void holderThatIsCutOffStopsBeforeItsSuccessorActs()
    {
        restartWithoutFencingChecks();
        const std::string first = holder().name;
        for (int round = 0; round < 3; ++round) {
            m_isolated = {holder().name};
            advance(seconds(8));
            m_isolated.clear();
            advance(seconds(3));
        }
        checkOneInstanceActsAtATime();
        CPPUNIT_ASSERT(std::ranges::any_of(
                m_allowedActions, [&](const AllowedAction &act) { return act.instance != first; }));
    }

    void frozenHolderDoesNotActWhenItResumes()
    {
        restartWithoutFencingChecks();
        Instance &first = holder();
        first.isAlive = false;
        advance(seconds(9));
        first.isAlive = true;
        advance(seconds(9));
        checkOneInstanceActsAtATime();
    }

    // The store's answers to the steps before the report arrive when the holder resumes, before its
    // next tick.
    void holderFrozenBetweenTwoStepsOfAReportDoesNotSendIt()
    {
        restartWithoutFencingChecks();
        Instance &first = holder();
        const int reads = m_store.reads;
        while (m_store.reads == reads) {
            m_store.answerPending();
            m_now += milliseconds(100);
            first.election->advance(*first.mesh);
            first.reporter->advance(*first.mesh);
        }
        const std::size_t reports = m_duties.reports.size();
        m_now += seconds(9);
        m_store.answerPending();
        CPPUNIT_ASSERT_EQUAL(reports, m_duties.reports.size());
    }

    void holderThatCannotReachTheStoreStopsActing()
    {
        restartWithoutFencingChecks();
        holder();
        m_store.error = StoreError::Unreachable;
        advance(seconds(2));
        CPPUNIT_ASSERT(holders().empty());
        m_store.error = {};
        advance(seconds(8));
        holder();
        checkOneInstanceActsAtATime();
    }

    void restartedHolderClaimsAgain()
    {
        for (const auto &instance : m_instances)
            instance->isAlive = false;
        for (const auto &instance : m_instances)
            start(*instance);
        advance(seconds(6));
        CPPUNIT_ASSERT(holder().election->fencingNumber() > 1);
    }

    void claimWithLostAnswerIsNotUsed()
    {
        holder().isAlive = false;
        m_store.losesAnswers = true;
        advance(seconds(5));
        CPPUNIT_ASSERT(holders().empty());
        m_store.losesAnswers = false;
        advance(seconds(5));
        // Every fencing number was claimed only once.
        CPPUNIT_ASSERT(holder().election->fencingNumber() <= m_store.topics["keyed.duties"].size());
    }

    void countsOfAllInstancesAreReported()
    {
        const WindowNumber window = m_instances.front()->meter->windowAt(m_now);
        for (const auto &instance : m_instances) {
            for (int count = 0; count < 10; ++count)
                instance->meter->countRequest(AccountId("club"), m_now);
        }
        advance(windowLength + seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{30}, reported(window));
    }

    // Guards against a call to the store by every instance for every window: 118 instances made 24
    // calls a second.
    void manyInstancesSendCountsByDigestOnly()
    {
        for (int index = 0; index < 47; ++index)
            addInstance("m" + std::to_string(100 + index));
        advance(seconds(6));
        const std::size_t before = m_store.topics["usage-counts"].size();
        const WindowNumber window = m_instances.front()->meter->windowAt(m_now);
        for (const auto &instance : m_instances)
            instance->meter->countRequest(AccountId("club"), m_now);
        Instance &first = holder();
        while (m_instances.front()->meter->windowAt(m_now) == window)
            advance(milliseconds(100));
        // The holder is killed before it has reported the window; the counts that it has stored
        // remain.
        advance(milliseconds(300));
        first.isAlive = false;
        advance(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{50}, reported(window));
        const std::size_t stored = m_store.topics["usage-counts"].size() - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(stored), stored <= 55);
    }

    void successorReportsTheFixedCounts()
    {
        Instance &first = holder();
        const WindowNumber window = first.meter->windowAt(m_now);
        first.meter->countRequest(AccountId("club"), m_now);
        m_duties.losesAnswers = true;
        while (m_duties.reports[window].empty())
            advance(milliseconds(100));
        first.isAlive = false;
        m_duties.losesAnswers = false;
        // A late count must not change what was reported.
        for (const auto &instance : m_instances)
            instance->meter->recordCounts("late.1", window, {{AccountId("club"), 99}});
        advance(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
    }

    // The successor reports the sum that was stored, so the first holder must too.
    void countReceivedWhileASumIsStoredDoesNotChangeItsReport()
    {
        Instance &first = holder();
        const WindowNumber window = first.meter->windowAt(m_now);
        first.meter->countRequest(AccountId("club"), m_now);
        m_store.onAppended = [&](const std::string &topic) {
            if (topic == "usage-fixed")
                first.meter->recordCounts("late.1", window, {{AccountId("club"), 99}});
        };
        m_duties.losesAnswers = true;
        while (m_duties.reports[window].empty())
            advance(milliseconds(100));
        first.isAlive = false;
        m_duties.losesAnswers = false;
        advance(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
    }

    // A holder that forgets a stored sum stores and reports another one.
    void clockThatJumpsAndReturnsDoesNotChangeAReport()
    {
        Instance &first = holder();
        const WindowNumber window = first.meter->windowAt(m_now);
        first.meter->countRequest(AccountId("club"), m_now);
        m_duties.losesAnswers = true;
        while (m_duties.reports[window].empty())
            advance(milliseconds(100));
        first.meter->setClockCorrection(seconds(60));
        advance(seconds(1));
        first.meter->setClockCorrection({});
        m_duties.losesAnswers = false;
        advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
    }

    // A holder that hears no other instance any more goes back to its own clock, which may be far
    // behind, and has dropped the stored sums of that time.
    void clockThatJumpsFarBackDoesNotChangeAReport()
    {
        Instance &first = holder();
        const WindowNumber window = first.meter->windowAt(m_now);
        first.meter->countRequest(AccountId("club"), m_now);
        advance(windowLength * 80);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
        first.meter->setClockCorrection(-windowLength * 79);
        advance(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
    }

    void countsStoredWithoutDigestsAreReported()
    {
        m_digestsAreLost = true;
        const WindowNumber window = m_instances.front()->meter->windowAt(m_now);
        for (const auto &instance : m_instances)
            instance->meter->countRequest(AccountId("club"), m_now);
        // Without digests several instances may claim the duties; the fencing numbers decide.
        advance(windowLength + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, reported(window));
    }

    void lostReportIsRepeatedWithTheSameCounts()
    {
        const WindowNumber window = m_instances.front()->meter->windowAt(m_now);
        holder().meter->countRequest(AccountId("club"), m_now);
        m_duties.losesAnswers = true;
        advance(windowLength + seconds(3));
        m_duties.losesAnswers = false;
        advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
    }

    void reportWaitsForTheStore()
    {
        const WindowNumber window = m_instances.front()->meter->windowAt(m_now);
        holder().meter->countRequest(AccountId("club"), m_now);
        m_store.error = StoreError::Unreachable;
        advance(windowLength + seconds(4));
        CPPUNIT_ASSERT(m_duties.reports[window].empty());
        m_store.error = {};
        advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, reported(window));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyTest);
