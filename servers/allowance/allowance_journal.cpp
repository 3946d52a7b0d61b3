#include "servers/allowance/allowance_journal.h"

#include "core/json_fields.h"
#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

namespace {

constexpr std::string_view topic = "keyed.allowances";
constexpr std::string_view key = "use";
/// Time from a failed read of the record to the next one.
constexpr Duration readRetryInterval = std::chrono::milliseconds(500);
/// A record has few amounts for each account, none of them near this one.
constexpr std::size_t maxAmounts = 64;
constexpr double maxAmount = 1e15;
/// Five thousand years, so that differences of instants don't overflow.
constexpr std::uint64_t maxTimeUs = 160'000'000'000'000'000;

struct RecordedUse
{
    AllowanceLedger::RecentUse uses;
    Instant at;
    StoreEra era = 0; ///< Era of the store that its writer knew.
};

/// Returns what to assume of the use before the start if the store has no record of it.
AllowanceLedger::UnlistedUse useWithoutRecord(StoreEra era)
{
    switch (era) {
    case 0:
        // The store names no era.
        return AllowanceLedger::UnlistedUse::Little;
    case 1:
        // The store is new, or it has come back from a copy that was made before the first record.
        return AllowanceLedger::UnlistedUse::Spread;
    default:
        return AllowanceLedger::UnlistedUse::Full;
    }
}

std::string_view toLog(AllowanceLedger::UnlistedUse use)
{
    switch (use) {
    case AllowanceLedger::UnlistedUse::Little:
        return "little";
    case AllowanceLedger::UnlistedUse::Spread:
        return "spread";
    case AllowanceLedger::UnlistedUse::Full:
        break;
    }
    return "full";
}

std::optional<std::vector<double>> decodeAmounts(const nlohmann::json &list)
{
    if (!list.is_array() || list.empty() || list.size() > maxAmounts)
        return std::nullopt;
    std::vector<double> amounts;
    for (const nlohmann::json &element : list) {
        const double amount = element.is_number() ? element.get<double>() : -1;
        if (amount < 0 || amount > maxAmount)
            return std::nullopt;
        amounts.push_back(amount);
    }
    return amounts;
}

std::optional<RecordedUse> decodeUse(std::string_view text)
{
    const nlohmann::json document = parseJson(text);
    const auto timeUs = uintField(document, "time_us");
    const auto uses = document.find("uses");
    const auto era = document.contains("era") ? uintField(document, "era") : 0;
    if (!timeUs || *timeUs > maxTimeUs || uses == document.end() || !uses->is_object() || !era
        || *era > LogPosition::maxEra)
        return std::nullopt;
    RecordedUse recorded{.at = instantFromMicroseconds(static_cast<std::int64_t>(*timeUs)),
                         .era = static_cast<StoreEra>(*era)};
    for (const auto &[account, list] : uses->items()) {
        auto amounts = decodeAmounts(list);
        if (!amounts)
            return std::nullopt;
        recorded.uses[AccountId(account)] = *std::move(amounts);
    }
    return recorded;
}

} // namespace

AllowanceJournal::AllowanceJournal(AllowanceLedger &ledger, RecordLog &log,
                                   std::function<Instant()> now, DecisionLog &decisions)
    : m_ledger(ledger)
    , m_log(log)
    , m_now(std::move(now))
    , m_decisions(decisions)
{ }

void AllowanceJournal::recover()
{
    // Until the record is known, any use is possible.
    m_ledger.assumeUse(AllowanceLedger::UnlistedUse::Full);
    readRecord();
}

void AllowanceJournal::readRecord()
{
    m_isReading = true;
    m_log.readNewest(topic, [this](std::error_code error, const LogRecords &records) {
        handleRead(error, records);
    });
}

void AllowanceJournal::handleRead(std::error_code error, const LogRecords &records)
{
    m_isReading = false;
    if (error) {
        m_nextReadAt = m_now() + readRetryInterval;
        if (m_failedReads++ == 0) {
            m_decisions.write(LogLevel::Warning, "allowances-not-recovered", {},
                              {{"error", error.message()}});
        }
        return;
    }
    m_isRecovered = true;
    const StoreEra era = LogPosition::of(records.end).era;
    RecordedUse recorded;
    for (const LogRecord &record : records.records) {
        if (record.key != key)
            continue;
        const auto decoded = decodeUse(record.value);
        if (!decoded) {
            m_ledger.assumeUse(AllowanceLedger::UnlistedUse::Spread);
            m_decisions.write(LogLevel::Warning, "allowances-not-recovered", {},
                              {{"error", std::string_view("the record is unreadable")}});
            return;
        }
        recorded = *decoded;
        m_recordEra = recorded.era;
    }
    if (m_recordEra && *m_recordEra != era) {
        // The assumption of full use stays.
        m_decisions.write(LogLevel::Warning, "allowances-not-recovered", {},
                          {{"error", std::string_view("the record is of an earlier era")}});
        return;
    }
    const Instant now = m_now();
    const bool isRecorded = recorded.at != Instant();
    const auto unlisted = isRecorded ? AllowanceLedger::UnlistedUse::Little : useWithoutRecord(era);
    if (isRecorded)
        m_ledger.restoreRecentUse(recorded.uses, recorded.at, now);
    else
        m_ledger.assumeUse(unlisted);
    m_decisions.write(LogLevel::Info, "allowances-recovered", {},
                      {{"accounts", static_cast<std::int64_t>(recorded.uses.size())},
                       {"recorded", isRecorded},
                       {"unlisted", toLog(unlisted)},
                       {"age_ms", isRecorded ? toMs(now - recorded.at) : 0},
                       {"failures", static_cast<std::int64_t>(m_failedReads)}});
}

void AllowanceJournal::advance(bool isWriter, Duration clockCorrection)
{
    const Instant now = m_now();
    if (!m_isRecovered) {
        if (!m_isReading && now >= m_nextReadAt)
            readRecord();
        return;
    }
    // A record of no account at all would hide the use that has to be assumed.
    if (!isWriter || m_isStoring || now < m_nextStoreAt || !m_ledger.hasAccounts())
        return;
    const AllowanceLedger::RecentUse uses = m_ledger.recentHeavyUse(now);
    m_nextStoreAt = now + storeInterval;
    const StoreEra era = m_log.currentEra().value_or(0);
    // Without a record of this era, a later start can't tell that no account has used much.
    const bool isRecordMissing = era > 0 && m_recordEra != era;
    if (uses.empty() && !isRecordMissing)
        return;
    nlohmann::json document{{"time_us", toMicroseconds(now + clockCorrection)},
                            {"era", era},
                            {"uses", nlohmann::json::object()}};
    for (const auto &[account, use] : uses)
        document["uses"][account.value()] = use;
    m_isStoring = true;
    m_log.append(topic, key, toJsonText(document), std::nullopt,
                 [this, era](std::error_code error, LogOffset /*offset*/) {
                     m_isStoring = false;
                     if (!error) {
                         m_recordEra = era;
                         return;
                     }
                     m_decisions.write(LogLevel::Warning, "allowances-not-stored", {},
                                       {{"error", error.message()}});
                 });
}

} // namespace monsoonsail
