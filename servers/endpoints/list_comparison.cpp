#include "servers/endpoints/list_comparison.h"

#include <algorithm>

namespace monsoonsail {

namespace {
/// Time for a change that is on its way: longer than the interval of a reader's digests, so that a
/// newer report arrives before a difference counts.
constexpr Duration patience = std::chrono::milliseconds(600);
/// Reading the list does not end a difference if the reader is wrong, or if an entry is taken
/// differently by those who read it later. It is then repeated at intervals that double up to this.
constexpr Duration maxRepeatInterval = std::chrono::seconds(60);
constexpr unsigned maxDoublings = 7;
/// A reader that sends no digests for this long no longer counts.
constexpr Duration reportRetention = std::chrono::seconds(3);
} // namespace

bool ListComparison::agrees(const Reader &reader) const
{
    // An instance that has read more of the log than the reader learns nothing from it.
    return m_endpoints.readEnd() >= reader.report.listEnd
            || m_endpoints.listChecksum() == reader.report.checksum;
}

void ListComparison::compare(Reader &reader, Instant now) const
{
    if (agrees(reader)) {
        reader.differsSince.reset();
        return;
    }
    if (reader.differsSince)
        return;
    reader.differsSince = now;
    reader.lastingFrom = now + patience;
}

void ListComparison::recordReport(const std::string &reader, const Report &report, Instant now)
{
    Reader &known = m_readers[reader];
    known.report = report;
    known.receivedAt = now;
    compare(known, now);
}

void ListComparison::update(Instant now)
{
    std::erase_if(m_readers, [now](const auto &entry) {
        return entry.second.receivedAt + reportRetention < now;
    });
    for (auto &[name, reader] : m_readers)
        compare(reader, now);
}

bool ListComparison::agreesWith(std::string_view reader) const
{
    const auto entry = m_readers.find(reader);
    return entry == m_readers.end() || agrees(entry->second);
}

std::optional<ListComparison::Difference> ListComparison::takeLasting(Instant now)
{
    update(now);
    std::optional<Difference> lasting;
    for (auto &[name, reader] : m_readers) {
        if (!reader.differsSince || reader.lastingFrom > now)
            continue;
        const bool isRepeat = difference(reader) == reader.handledDifference;
        if (isRepeat && now < reader.repeatAt)
            continue;
        lasting = {.reader = name, .report = reader.report, .since = *reader.differsSince};
        reader.repeats = isRepeat ? std::min(reader.repeats + 1, maxDoublings) : 0;
        reader.repeatAt = now + std::min(patience * (2U << reader.repeats), maxRepeatInterval);
        reader.handledDifference = difference(reader);
        reader.lastingFrom = now + patience;
    }
    return lasting;
}

} // namespace monsoonsail
