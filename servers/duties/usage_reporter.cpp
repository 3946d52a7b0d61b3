#include "servers/duties/usage_reporter.h"

#include "core/store_error.h"
#include "servers/duties/usage_records.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::string_view countsTopic = "usage-counts";
constexpr std::string_view fixedTopic = "usage-fixed";
/// Delay after a failed call. Calls cost money, and a report has seconds until its deadline.
constexpr Duration retryDelay = std::chrono::milliseconds(700);
/// From this number of instances on, the counts in digests suffice: those of a single instance make
/// up half of the tolerated error of a report.
constexpr unsigned minInstancesForDigestCounts = 40;
/// Windows that are kept; more than can still be reported.
constexpr WindowNumber retainedWindows = 8;
/// Windows whose stored sums are kept, the highest numbers first. The clock doesn't decide what is
/// dropped, since it may be corrected back and a window must not be summed up twice.
constexpr std::size_t maxFixedWindows = 64;
/// How far the clock of an instance that hears no others may be off.
constexpr Duration clockTolerance = std::chrono::seconds(2);
/// Live peers from which on the median of the clocks is right although one of them is wrong.
constexpr std::ptrdiff_t minPeersForAgreement = 2;

} // namespace

UsageReporter::UsageReporter(std::string incarnation, Timing timing, UsageMeter &meter,
                             RecordLog &log, DutyPort &duties, std::function<Instant()> now,
                             std::function<std::uint64_t()> fencingNumber,
                             std::function<void()> onFenced, DecisionLog &decisions)
    : m_incarnation(std::move(incarnation))
    , m_timing(timing)
    , m_meter(meter)
    , m_log(log)
    , m_duties(duties)
    , m_now(std::move(now))
    , m_currentFencingNumber(std::move(fencingNumber))
    , m_onFenced(std::move(onFenced))
    , m_decisions(decisions)
    , m_firstWindow(meter.windowAt(m_now()))
    , m_lastStored(m_firstWindow - 1)
{ }

void UsageReporter::advance(const Mesh &mesh)
{
    const Instant now = m_now();
    const std::uint64_t fencingNumber = m_currentFencingNumber();
    const WindowNumber current = m_meter.windowAt(now);
    updateEra();
    m_isClockAgreedOn = std::ranges::count_if(
                                mesh.peers(),
                                [now](const auto &peer) { return Mesh::isLive(peer.second, now); })
            >= minPeersForAgreement;
    // With few instances, each stores its counts for the holder to read. With many, the holder gets
    // them from digests; what it misses from one instance is within the tolerance of a report.
    const bool isCoveredByDigests = mesh.instanceCount() >= minInstancesForDigestCounts
            && fencingNumber == 0 && !mesh.dutyHolders(now).empty();
    while (m_lastStored + 1 < current) {
        ++m_lastStored;
        if (!isCoveredByDigests)
            storeOwnCounts(m_lastStored);
    }
    if (std::exchange(m_fencingNumber, fencingNumber) != fencingNumber) {
        // An earlier holder may have fixed windows without reporting them.
        m_hasReadFixed = false;
        m_reported.clear();
    }
    if (current > retainedWindows)
        m_meter.forgetBefore(current - retainedWindows);
    if (m_fencingNumber == 0 || m_step != Step::Idle || now < m_nextStepAt)
        return;
    if (current > retainedWindows) {
        m_reported.erase(m_reported.begin(), m_reported.lower_bound(current - retainedWindows));
    }
    while (m_fixed.size() > maxFixedWindows)
        m_fixed.erase(m_fixed.begin());
    const auto window = nextWindow();
    if (!window)
        return;
    m_pendingWindow = *window;
    if (!m_hasReadFixed)
        readFixed();
    else if (const auto fixed = m_fixed.find(m_pendingWindow); fixed != m_fixed.end())
        reportWindow(m_pendingWindow, *fixed->second);
    else
        readCounts();
}

void UsageReporter::updateEra()
{
    const std::optional<StoreEra> era = m_log.currentEra();
    if (!era || (m_eraSeenAt && *era == m_era))
        return;
    m_era = *era;
    m_eraSeenAt = m_now();
    m_firstWindowOfEra.reset();
    m_hasReadFixed = false;
}

// A window that ends after the era has begun can't have been summed up before. The holder of then
// may have had a clock that was ahead, and this one may have a clock that is behind.
bool UsageReporter::mayBeSummedUp(WindowNumber window) const
{
    if (m_firstWindowOfEra && window >= *m_firstWindowOfEra)
        return true;
    const Duration maxDifference = clockTolerance * (m_isClockAgreedOn ? 1 : 2);
    const Duration margin = std::max(Duration::zero(), maxDifference - m_timing.settleDelay);
    return m_eraSeenAt && m_meter.windowEnd(window) > *m_eraSeenAt + margin;
}

bool UsageReporter::mayBeReported(WindowNumber window) const
{
    if (const auto fixed = m_fixed.find(window); fixed != m_fixed.end())
        return fixed->second.has_value();
    // A window whose sum has been dropped may have been reported before.
    const bool mayBeForgotten =
            m_fixed.size() == maxFixedWindows && window < m_fixed.begin()->first;
    return !mayBeForgotten && mayBeSummedUp(window);
}

std::optional<WindowNumber> UsageReporter::nextWindow() const
{
    const Instant now = m_now();
    const WindowNumber current = m_meter.windowAt(now);
    for (WindowNumber window = current > retainedWindows ? current - retainedWindows : 0;
         window < current; ++window) {
        const Instant end = m_meter.windowEnd(window);
        if (now < end + m_timing.settleDelay || now >= end + m_timing.reportDeadline
            || m_reported.contains(window) || (m_hasReadFixed && !mayBeReported(window)))
            continue;
        return window;
    }
    return std::nullopt;
}

void UsageReporter::flush()
{
    storeOwnCounts(m_meter.windowAt(m_now()));
}

void UsageReporter::storeOwnCounts(WindowNumber window)
{
    UsageCounts counts = m_meter.ownCounts(window);
    if (counts.empty())
        return;
    const std::string record = encodeUsage(
            {.window = window, .incarnation = m_incarnation, .counts = std::move(counts)});
    m_log.append(countsTopic, {}, record, std::nullopt,
                 [this, window](std::error_code error, LogOffset /*offset*/) {
                     // Errors are only logged, since the holder has nearly the same counts from
                     // digests.
                     if (error) {
                         m_decisions.write(LogLevel::Warning, "usage-counts-not-stored", {},
                                           {{"window", static_cast<std::int64_t>(window)},
                                            {"error", error.message()}});
                     }
                 });
}

bool UsageReporter::finishRead(std::error_code error, const LogRecords &records, LogOffset &offset)
{
    m_step = Step::Idle;
    if (error == StoreError::Expired) {
        offset = records.first;
        return false;
    }
    if (error) {
        delayNextStep();
        return false;
    }
    offset = records.end;
    return true;
}

void UsageReporter::readFixed()
{
    m_step = Step::ReadingFixed;
    m_log.read(fixedTopic, m_fixedOffset, m_now(),
               [this](std::error_code error, const LogRecords &records) {
                   handleFixedRead(error, records);
               });
}

void UsageReporter::handleFixedRead(std::error_code error, const LogRecords &records)
{
    if (!finishRead(error, records, m_fixedOffset))
        return;
    updateEra();
    const StoreEra era = LogPosition::of(records.end).era;
    for (const LogRecord &record : records.records) {
        const auto usage = decodeUsage(record.value);
        if (!usage)
            continue;
        std::optional<UsageCounts> &known = m_fixed[usage->window];
        // A record of an earlier era is in the copy, or was stored by a call of then whose
        // condition held again by chance. It proves nothing. If there are several records of a
        // window, the first one is valid.
        if (usage->era != era || known)
            continue;
        known = usage->counts;
        noteSummedUp(usage->window);
    }
    m_hasReadFixed = era == m_era;
}

void UsageReporter::noteSummedUp(WindowNumber window)
{
    m_firstWindowOfEra = std::min(m_firstWindowOfEra.value_or(window), window);
}

void UsageReporter::readCounts()
{
    m_step = Step::ReadingCounts;
    m_log.read(countsTopic, m_countsOffset, m_now(),
               [this](std::error_code error, const LogRecords &records) {
                   handleCountsRead(error, records);
               });
}

void UsageReporter::handleCountsRead(std::error_code error, const LogRecords &records)
{
    if (!finishRead(error, records, m_countsOffset))
        return;
    for (const LogRecord &record : records.records) {
        if (const auto usage = decodeUsage(record.value))
            m_meter.recordCounts(usage->incarnation, usage->window, usage->counts);
    }
    // The store may have changed its era since the window was chosen.
    updateEra();
    if (m_hasReadFixed && mayBeSummedUp(m_pendingWindow))
        fixCounts();
}

void UsageReporter::fixCounts()
{
    m_step = Step::Fixing;
    UsageCounts counts = m_meter.totalCounts(m_pendingWindow);
    const std::string record = encodeUsage({.window = m_pendingWindow,
                                            .counts = counts,
                                            .era = LogPosition::of(m_fixedOffset).era});
    m_log.append(fixedTopic, {}, record, m_fixedOffset,
                 [this, counts = std::move(counts)](std::error_code error, LogOffset offset) {
                     handleCountsFixed(counts, error, offset);
                 });
}

void UsageReporter::handleCountsFixed(const UsageCounts &counts, std::error_code error,
                                      LogOffset offset)
{
    m_step = Step::Idle;
    m_decisions.write(LogLevel::Info, "usage-fixed", {},
                      {{"window", toLog(m_pendingWindow)},
                       {"offset", toLog(offset)},
                       {"counts_hash", toLog(hashCounts(counts))},
                       {"done", !error}});
    if (error) {
        // Another holder was faster, the record was stored although the call failed, or the store
        // has gone back. The next read shows which.
        m_hasReadFixed = false;
        if (error != StoreError::Conflict && error != StoreError::Restored)
            delayNextStep();
        return;
    }
    m_fixedOffset = offset + 1;
    // The meter may know more by now, but a successor reports what was stored.
    noteSummedUp(m_pendingWindow);
    reportWindow(m_pendingWindow, *m_fixed.emplace(m_pendingWindow, counts).first->second);
}

void UsageReporter::reportWindow(WindowNumber window, const UsageCounts &counts)
{
    // The instance may have been frozen since the last advance(), and a successor may act already.
    if (m_fencingNumber == 0 || m_currentFencingNumber() != m_fencingNumber)
        return;
    m_step = Step::Reporting;
    m_duties.reportUsage(m_fencingNumber, window, counts,
                         [this, window, number = m_fencingNumber,
                          hash = hashCounts(counts)](DutyOutcome outcome) {
                             m_decisions.write(LogLevel::Info, "usage-reported", {},
                                               {{"window", toLog(window)},
                                                {"fencing_number", toLog(number)},
                                                {"counts_hash", toLog(hash)},
                                                {"done", outcome == DutyOutcome::Done}});
                             handleReportAnswer(window, outcome);
                         });
}

void UsageReporter::handleReportAnswer(WindowNumber window, DutyOutcome outcome)
{
    m_step = Step::Idle;
    if (outcome == DutyOutcome::Done)
        m_reported[window] = true;
    else if (outcome == DutyOutcome::Fenced)
        m_onFenced();
    else
        delayNextStep();
}

void UsageReporter::delayNextStep()
{
    m_nextStepAt = m_now() + retryDelay;
}

} // namespace monsoonsail
