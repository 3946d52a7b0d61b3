#pragma once

#include "core/instant.h"
#include "core/log_position.h"
#include "servers/allowance/allowance_ledger.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <functional>
#include <optional>

namespace monsoonsail {

/// Stores the recent use of allowances periodically, so that processes that start after all others
/// were killed can restore it.
class AllowanceJournal
{
public:
    /// Time between two records. A process that restores one can only estimate what was used after
    /// it.
    static constexpr Duration storeInterval = std::chrono::milliseconds(500);

    /// References must outlive the journal.
    AllowanceJournal(AllowanceLedger &ledger, RecordLog &log, std::function<Instant()> now,
                     DecisionLog &decisions);

    /// Reads the newest record and restores its use in the ledger, which assumes full use until
    /// then. A record of an earlier era of the store says nothing of the use since, however old it
    /// is. Nor does a missing record, if the store may have lost it.
    void recover();
    /// Reads the record again if that failed, until the store has answered. After that, stores the
    /// recent use if this instance is the writer, a record is due, and some account has used much
    /// of its allowance or no record of the store's era is known. Call periodically.
    void advance(bool isWriter, Duration clockCorrection);

private:
    void readRecord();
    void handleRead(std::error_code error, const LogRecords &records);

    AllowanceLedger &m_ledger;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    DecisionLog &m_decisions;
    /// Whether the store has answered a read. Nothing is stored before, since it would overwrite
    /// the record to read.
    bool m_isRecovered = false;
    bool m_isReading = false;
    unsigned m_failedReads = 0;
    Instant m_nextReadAt;
    bool m_isStoring = false;
    std::optional<StoreEra> m_recordEra; ///< Era for which the newest known record was stored.
    Instant m_nextStoreAt;
};

} // namespace monsoonsail
