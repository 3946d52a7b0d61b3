#include "servers/endpoints/list_comparison.h"

#include <algorithm>

namespace monsoonsail {

namespace {
/// A change may be on its way. So a difference counts only this long after the next report was due,
/// and if it is one from that report too.
constexpr Duration reportMargin = std::chrono::milliseconds(100);
/// Reading the list does not end a difference if the reader is wrong, or if an entry is taken
/// differently by those who read it later. It is then repeated at intervals that double up to this.
constexpr Duration firstRepeatInterval = std::chrono::milliseconds(1200);
constexpr Duration maxRepeatInterval = std::chrono::seconds(60);
constexpr unsigned maxDoublings = 7;
/// A reader whose next report is late by more no longer counts.
constexpr Duration reportRetention = std::chrono::seconds(3);
} // namespace

bool ListComparison::agrees(const Reader &reader) const
{
    // An instance that has read more of the log than the reader learns nothing from it.
    return m_endpoints.readEnd() >= reader.report.listEnd
            || m_endpoints.listChecksum() == reader.report.checksum;
}

void ListComparison::recordReport(const std::string &reader, const Report &report,
                                  Instant nextReportAt, Instant now)
{
    Reader &known = m_readers[reader];
    known.report = report;
    known.nextReportAt = nextReportAt;
    // A reader that has been frozen or cut off reports what the others no longer know.
    const bool isBehind = std::ranges::any_of(m_readers, [&report](const auto &entry) {
        return entry.second.report.listEnd > report.listEnd;
    });
    if (agrees(known) || isBehind) {
        known.differsSince.reset();
    } else if (!known.differsSince) {
        known.differsSince = now;
        known.lastingFrom = nextReportAt + reportMargin;
    }
}

// A change that a bulletin brought after the newest report ends a difference, but doesn't begin
// one.
void ListComparison::update(Instant now)
{
    std::erase_if(m_readers, [now](const auto &entry) {
        return entry.second.nextReportAt + reportRetention < now;
    });
    for (auto &[name, reader] : m_readers) {
        if (agrees(reader))
            reader.differsSince.reset();
    }
}

bool ListComparison::agreesWith(std::string_view reader) const
{
    const auto entry = m_readers.find(reader);
    return entry == m_readers.end() || agrees(entry->second);
}

std::optional<ListComparison::Difference> ListComparison::takeLasting(Instant now, Duration delay)
{
    update(now);
    std::optional<Difference> lasting;
    for (auto &[name, reader] : m_readers) {
        if (!reader.differsSince || reader.lastingFrom + delay > now)
            continue;
        const bool isRepeat = difference(reader) == reader.handledDifference;
        if (isRepeat && now < reader.repeatAt)
            continue;
        lasting = {.reader = name, .report = reader.report, .since = *reader.differsSince};
        reader.repeats = isRepeat ? std::min(reader.repeats + 1, maxDoublings) : 0;
        reader.repeatAt =
                now + std::min(firstRepeatInterval * (1U << reader.repeats), maxRepeatInterval);
        reader.handledDifference = difference(reader);
        reader.lastingFrom = reader.nextReportAt + reportMargin;
    }
    return lasting;
}

} // namespace monsoonsail
