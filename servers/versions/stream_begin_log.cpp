#include "servers/versions/stream_begin_log.h"

#include "core/hash.h"
#include "core/store_error.h"
#include "servers/versions/begin_record.h"

#include <algorithm>
#include <array>

namespace monsoonsail {

namespace {

/// Each instance appends to one of them. An append occupies its topic for milliseconds.
constexpr std::array<std::string_view, 2> topics{"stream-begins-0", "stream-begins-1"};
/// Shortest time between two records of an instance.
constexpr Duration minWriteInterval = std::chrono::milliseconds(100);
/// Records that all instances together write in a second at most.
constexpr unsigned maxRecordsPerSecond = 160;
/// Longer than a stream lasts.
constexpr Duration beginRetention = std::chrono::seconds(30);
constexpr Duration recordRetention = std::chrono::seconds(60);
/// Keeps a record well below the size that the store takes.
constexpr std::size_t maxStreamsPerRecord = 16'000;

} // namespace

StreamBeginLog::StreamBeginLog(const std::string &instance, RecordLog &log,
                               std::function<Instant()> now, DecisionLog &decisions)
    : m_ownTopic(stableHash(instance) % topics.size())
    , m_log(log)
    , m_now(std::move(now))
    , m_decisions(decisions)
    , m_nextOffsets(topics.size(), 0)
{ }

StreamBeginLog::StreamHash StreamBeginLog::hashOf(const ServiceId &service,
                                                  std::string_view request)
{
    return stableHash(request, stableHash(service.view()));
}

void StreamBeginLog::add(const ServiceId &service, std::string_view request,
                         const SoftwareVersion &software)
{
    const StreamHash stream = hashOf(service, request);
    const auto [begin, isNew] = m_begins.try_emplace(stream, Begin{service, software});
    if (!isNew)
        return;
    m_order.emplace_back(m_now(), stream);
    if (m_recordedServices.contains(service))
        m_unwritten.push_back(stream);
}

void StreamBeginLog::advance(const ServicePredicate &isMixed, unsigned instanceCount)
{
    const Instant now = m_now();
    forgetOld(now);
    if (const auto era = m_log.currentEra(); era != m_era) {
        // A store that has come back from a copy lacks records, so all are appended again.
        m_recordedServices.clear();
        m_unwritten.clear();
        m_era = era;
    }
    std::set<ServiceId> services;
    for (const auto &[stream, begin] : m_begins) {
        if (services.contains(begin.service) || !isMixed(begin.service))
            continue;
        services.insert(begin.service);
    }
    for (const auto &[stream, begin] : m_begins) {
        if (services.contains(begin.service) && !m_recordedServices.contains(begin.service))
            m_unwritten.push_back(stream);
    }
    m_recordedServices = std::move(services);
    m_instanceCount = instanceCount;
    writeDue();
}

void StreamBeginLog::writeDue()
{
    const Instant now = m_now();
    if (!m_unwritten.empty() && !m_isWriting && now >= m_nextWriteAt)
        write(now);
}

Duration StreamBeginLog::writeInterval() const
{
    return std::max<Duration>(minWriteInterval,
                              Duration(std::chrono::seconds(1)) * m_instanceCount
                                      / maxRecordsPerSecond);
}

void StreamBeginLog::forgetOld(Instant now)
{
    while (!m_order.empty() && m_order.front().first + beginRetention < now) {
        m_begins.erase(m_order.front().second);
        m_order.pop_front();
    }
}

void StreamBeginLog::write(Instant now)
{
    const auto count = std::min(m_unwritten.size(), maxStreamsPerRecord);
    std::vector<StreamHash> streams(m_unwritten.begin(),
                                    m_unwritten.begin() + static_cast<std::ptrdiff_t>(count));
    m_unwritten.erase(m_unwritten.begin(),
                      m_unwritten.begin() + static_cast<std::ptrdiff_t>(count));
    BeginsByVersion begins;
    for (const StreamHash stream : streams) {
        const auto begin = m_begins.find(stream);
        if (begin != m_begins.end())
            begins[begin->second.software].push_back(stream);
    }
    if (begins.empty())
        return;
    m_nextWriteAt = now + writeInterval();
    m_isWriting = true;
    m_log.append(topics[m_ownTopic], {}, encodeBeginRecord(begins), std::nullopt,
                 [this, streams = std::move(streams)](std::error_code error, LogOffset /*offset*/) {
                     m_isWriting = false;
                     if (!error)
                         return;
                     // It may have been stored; a second record says the same.
                     m_unwritten.insert(m_unwritten.end(), streams.begin(), streams.end());
                     m_decisions.write(
                             LogLevel::Warning, "stream-begins-not-recorded", {},
                             {{"streams", toLog(streams.size())}, {"error", error.message()}});
                 });
}

std::optional<SoftwareVersion> StreamBeginLog::findOwn(const ServiceId &service,
                                                       std::string_view request) const
{
    const auto begin = m_begins.find(hashOf(service, request));
    return begin == m_begins.end() ? std::nullopt : std::optional(begin->second.software);
}

void StreamBeginLog::find(const ServiceId &service, std::string_view request, FindDone done)
{
    const StreamHash stream = hashOf(service, request);
    if (const auto record = m_records.find(stream); record != m_records.end()) {
        done({}, record->second.software);
        return;
    }
    m_waiting.push_back({.stream = stream, .done = std::move(done)});
    if (m_openReads == 0)
        startRead();
}

void StreamBeginLog::startRead()
{
    m_served = std::exchange(m_waiting, {});
    m_readError = {};
    m_openReads = topics.size();
    for (std::size_t topic = 0; topic < topics.size(); ++topic)
        readTopic(topic);
}

void StreamBeginLog::readTopic(std::size_t topic)
{
    m_log.read(topics[topic], m_nextOffsets[topic], m_now(),
               [this, topic](std::error_code error, const LogRecords &records) {
                   handleRead(topic, error, records);
               });
}

void StreamBeginLog::handleRead(std::size_t topic, std::error_code error, const LogRecords &records)
{
    if (error == StoreError::Expired && records.first != m_nextOffsets[topic]) {
        m_nextOffsets[topic] = records.first;
        readTopic(topic);
        return;
    }
    const Instant now = m_now();
    if (error) {
        m_readError = error;
    } else {
        m_nextOffsets[topic] = records.end;
        for (const LogRecord &record : records.records) {
            const auto begins = decodeBeginRecord(record.value);
            if (!begins) {
                m_decisions.write(LogLevel::Warning, "stream-begin-record-unreadable", {},
                                  {{"offset", toLog(record.offset)}});
                continue;
            }
            for (const auto &[software, streams] : *begins) {
                for (const StreamHash stream : streams)
                    m_records.insert_or_assign(stream, Record{software, now});
            }
        }
        if (records.isCutOff) {
            readTopic(topic);
            return;
        }
    }
    if (--m_openReads == 0)
        finishRead();
}

void StreamBeginLog::finishRead()
{
    const std::error_code error = m_readError;
    for (const Query &query : std::exchange(m_served, {})) {
        const auto record = m_records.find(query.stream);
        if (record != m_records.end())
            query.done({}, record->second.software);
        else
            query.done(error, std::nullopt);
    }
    const Instant now = m_now();
    std::erase_if(m_records,
                  [now](const auto &entry) { return entry.second.readAt + recordRetention < now; });
    if (!m_waiting.empty() && m_openReads == 0)
        startRead();
}

} // namespace monsoonsail
