#include "servers/rollout/keyed_record_writer.h"

#include "core/store_error.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
/// Time from a failed call to the next one.
constexpr Duration retryDelay = std::chrono::milliseconds(200);

} // namespace

KeyedRecordWriter::KeyedRecordWriter(std::string topic, RecordLog &log,
                                     std::function<Instant()> now)
    : m_topic(std::move(topic))
    , m_log(log)
    , m_now(std::move(now))
{ }

void KeyedRecordWriter::reset()
{
    ++m_resets;
    m_isCallPending = false;
    m_end.reset();
    m_wanted.clear();
    m_stored.clear();
    m_nextCallAt = {};
}

void KeyedRecordWriter::want(const std::string &key, std::string value)
{
    m_wanted[key] = std::move(value);
}

bool KeyedRecordWriter::isStored(const std::string &key, std::string_view value) const
{
    const auto stored = m_stored.find(key);
    return m_end && stored != m_stored.end() && stored->second == value;
}

void KeyedRecordWriter::advance()
{
    const std::optional<StoreEra> era = m_log.currentEra();
    if (m_end && era && LogPosition::of(*m_end).era != *era)
        m_end.reset();
    if (m_isCallPending || m_now() < m_nextCallAt)
        return;
    if (!m_end) {
        read();
        return;
    }
    for (const auto &[key, value] : m_wanted) {
        const auto stored = m_stored.find(key);
        if (stored == m_stored.end() || stored->second != value) {
            append(key, value);
            return;
        }
    }
}

void KeyedRecordWriter::read()
{
    m_isCallPending = true;
    m_log.readNewest(m_topic,
                     [this, number = m_resets](std::error_code error, const LogRecords &records) {
                         if (number == m_resets)
                             handleRead(error, records);
                     });
}

void KeyedRecordWriter::handleRead(std::error_code error, const LogRecords &records)
{
    m_isCallPending = false;
    if (error) {
        readAgain(error);
        return;
    }
    m_end = records.end;
    m_stored.clear();
    for (const LogRecord &record : records.records)
        m_stored[record.key] = record.value;
    if (m_readHandler)
        m_readHandler(records);
    advance();
}

void KeyedRecordWriter::append(const std::string &key, const std::string &value)
{
    m_isCallPending = true;
    m_log.append(m_topic, key, value, m_end,
                 [this, key, value, number = m_resets](std::error_code error, LogOffset offset) {
                     if (number == m_resets)
                         handleAppended(key, value, error, offset);
                 });
}

void KeyedRecordWriter::handleAppended(const std::string &key, const std::string &value,
                                       std::error_code error, LogOffset offset)
{
    m_isCallPending = false;
    if (error) {
        // It may have been stored nevertheless, by this call or one that arrives later.
        readAgain(error);
    } else {
        m_end = offset + 1;
        m_stored[key] = value;
    }
    if (m_writeHandler)
        m_writeHandler(key, value, error);
    if (!error)
        advance();
}

void KeyedRecordWriter::readAgain(std::error_code error)
{
    m_end.reset();
    const bool isAtOnce = error == StoreError::Conflict || error == StoreError::Restored;
    m_nextCallAt = isAtOnce ? m_now() : m_now() + retryDelay;
}

} // namespace monsoonsail
