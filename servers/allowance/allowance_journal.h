#pragma once

#include "core/instant.h"
#include "servers/allowance/allowance_ledger.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <functional>

namespace monsoonsail {

/// Keeps the recent use of allowances in the store, for processes that start after all others have
/// been killed.
class AllowanceJournal
{
public:
    /// Time between two records. What is used between them is only guessed by a process that starts
    /// then.
    static constexpr Duration storeInterval = std::chrono::milliseconds(500);

    /// References must outlive the journal.
    AllowanceJournal(AllowanceLedger &ledger, RecordLog &log, std::function<Instant()> now,
                     DecisionLog &decisions);

    /// Reads what was used before this process started.
    void recover();
    /// Called often. Only the writer stores the use, while there is much of it.
    void advance(bool isWriter, Duration clockCorrection);

private:
    void handleRecoveryRead(std::error_code error, const LogRecords &records);

    AllowanceLedger &m_ledger;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    DecisionLog &m_decisions;
    bool m_hasRecovered = false; ///< Nothing is stored before, or it would replace what was used.
    bool m_isStoring = false;
    Instant m_nextStoreAt;
};

} // namespace monsoonsail
