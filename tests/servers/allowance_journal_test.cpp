#include "servers/allowance/allowance_journal.h"
#include "tests/servers/memory_log.h"
#include "tests/servers/recording_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests the stored record of recent use, which survives a kill of all instances.
class AllowanceJournalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceJournalTest);
    CPPUNIT_TEST(onlyTheWriterStoresHeavyUse);
    CPPUNIT_TEST(lightUseIsNotStored);
    CPPUNIT_TEST(nothingIsStoredBeforeTheRecordIsRead);
    CPPUNIT_TEST(useIsRestoredAfterAStart);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double perSecond = 1000;
    const AccountId m_account{"club"};
    Instant m_now = instantFromMicroseconds(1'000'000'000);
    MemoryLog m_store;
    RecordingLog m_decisions;
    std::unique_ptr<AllowanceLedger> m_ledger;
    std::unique_ptr<AllowanceJournal> m_journal;

    void start()
    {
        m_ledger = std::make_unique<AllowanceLedger>(AllowanceRules{.window = seconds(8)}, 1);
        Account account{.name = m_account};
        account.allowance = {.perSecond = perSecond};
        m_ledger->configure({account}, m_now);
        m_journal = std::make_unique<AllowanceJournal>(
                *m_ledger, m_store, [this] { return m_now; }, m_decisions);
        m_journal->recover();
    }
    /// Admits requests of 100 until one is refused. Returns the admitted amount.
    double admitRemaining()
    {
        double amount = 0;
        while (!m_ledger->admit(m_account, 100, m_now))
            amount += 100;
        return amount;
    }

public:
    void setUp() override { start(); }

    void onlyTheWriterStoresHeavyUse()
    {
        m_store.answerPending();
        m_now += seconds(10);
        m_ledger->admit(m_account, 4000, m_now);
        m_journal->advance(false, {});
        CPPUNIT_ASSERT_EQUAL(0U, unsigned(m_store.appends));
        m_journal->advance(true, {});
        m_store.answerPending();
        CPPUNIT_ASSERT_EQUAL(1U, unsigned(m_store.appends));
        m_journal->advance(true, {});
        CPPUNIT_ASSERT_EQUAL(1U, unsigned(m_store.appends));
        m_now += AllowanceJournal::storeInterval;
        m_journal->advance(true, {});
        CPPUNIT_ASSERT_EQUAL(2U, unsigned(m_store.appends));
    }

    void lightUseIsNotStored()
    {
        m_store.answerPending();
        m_now += seconds(10);
        m_ledger->admit(m_account, 500, m_now);
        m_journal->advance(true, {});
        CPPUNIT_ASSERT_EQUAL(0U, unsigned(m_store.appends));
    }

    void nothingIsStoredBeforeTheRecordIsRead()
    {
        m_journal->advance(true, {});
        CPPUNIT_ASSERT_EQUAL(0U, unsigned(m_store.appends));
    }

    void useIsRestoredAfterAStart()
    {
        m_store.answerPending();
        m_now += seconds(10);
        CPPUNIT_ASSERT(!m_ledger->admit(m_account, 6000, m_now));
        m_journal->advance(true, {});
        m_store.answerPending();
        m_now += milliseconds(200);
        start();
        m_store.answerPending();
        CPPUNIT_ASSERT(admitRemaining() <= 2000);
        m_now += seconds(10);
        CPPUNIT_ASSERT(admitRemaining() >= 7000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceJournalTest);
