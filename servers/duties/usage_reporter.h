#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/metering/usage_meter.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/duty_port.h"
#include "servers/ports/record_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace monsoonsail {

/// Reports the usage of each metering window to the platform while this instance holds the duties.
///
/// The counts of a window are fixed in the store before they are reported, so that the next holder
/// reports the same counts. The store may come back from an older copy without them. Therefore a
/// window is summed up in one era of the store only: the first one that has begun when it ends.
class UsageReporter
{
public:
    struct Timing
    {
        Duration settleDelay{}; ///< From the end of a window until its counts are summed up.
        /// From the end of a window until its report is due. A later one is worthless and not sent.
        Duration reportDeadline{};
    };

    /// `incarnation` is that of this process. `fencingNumber` returns 0 while this instance does
    /// not hold the duties or may not act. References must outlive the reporter.
    UsageReporter(std::string incarnation, Timing timing, UsageMeter &meter, RecordLog &log,
                  DutyPort &duties, std::function<Instant()> now,
                  std::function<std::uint64_t()> fencingNumber, std::function<void()> onFenced,
                  DecisionLog &decisions);

    /// Stores own counts of windows that have ended and takes the next step of reporting. Call
    /// periodically.
    void advance(const Mesh &mesh);
    /// Stores the counts of the current window now, before the process ends.
    void flush();

private:
    enum class Step {
        Idle,
        ReadingFixed,  ///< Reads the windows fixed so far, also by earlier holders.
        ReadingCounts, ///< Reads the counts that other instances have stored.
        Fixing,
        Reporting,
    };

    void storeOwnCounts(WindowNumber window);
    /// Handles the end of a read and moves `offset` past the records. Returns whether the read
    /// succeeded.
    bool finishRead(std::error_code error, const LogRecords &records, LogOffset &offset);
    void readFixed();
    void readCounts();
    void fixCounts();
    void reportWindow(WindowNumber window, const UsageCounts &counts);
    void handleFixedRead(std::error_code error, const LogRecords &records);
    void handleCountsRead(std::error_code error, const LogRecords &records);
    void handleCountsFixed(const UsageCounts &counts, std::error_code error, LogOffset offset);
    void handleReportAnswer(WindowNumber window, DutyOutcome outcome);
    /// Notes since when the store is known to be in its present era.
    void updateEra();
    /// Whether no sum of the window can have been stored in an earlier era.
    bool mayBeSummedUp(WindowNumber window) const;
    bool mayBeReported(WindowNumber window) const;
    /// Notes that the sum of a window was stored in m_era.
    void noteSummedUp(WindowNumber window);
    std::optional<WindowNumber> nextWindow() const;
    void delayNextStep();

    const std::string m_incarnation;
    const Timing m_timing;
    UsageMeter &m_meter;
    RecordLog &m_log;
    DutyPort &m_duties;
    const std::function<Instant()> m_now;
    const std::function<std::uint64_t()> m_currentFencingNumber;
    const std::function<void()> m_onFenced;
    DecisionLog &m_decisions;

    std::uint64_t m_fencingNumber = 0; ///< At the last advance().
    Step m_step = Step::Idle;
    Instant m_nextStepAt;
    WindowNumber m_firstWindow; ///< Window in which this process started.
    /// Newest window whose own counts were stored or left to the digests.
    WindowNumber m_lastStored;
    LogOffset m_countsOffset = 0; ///< Next record of counts to read.
    LogOffset m_fixedOffset = 0;  ///< Next record of fixed windows to read.
    bool m_hasReadFixed = false;  ///< Whether all fixed windows have been read.
    /// The stored sums. One without a value is of an earlier era, and may not be what was reported.
    std::map<WindowNumber, std::optional<UsageCounts>> m_fixed;
    StoreEra m_era = 0;
    std::optional<Instant> m_eraSeenAt; ///< When this process first saw m_era.
    /// Lowest window with a sum that was stored in m_era.
    std::optional<WindowNumber> m_firstWindowOfEra;
    bool m_isClockAgreedOn = false; ///< At the last advance().
    std::map<WindowNumber, bool> m_reported;
    WindowNumber m_pendingWindow = 0; ///< Window that is being reported.
};

} // namespace monsoonsail
