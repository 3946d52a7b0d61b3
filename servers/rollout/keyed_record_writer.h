#pragma once

#include "core/instant.h"
#include "core/log_position.h"
#include "servers/ports/record_log.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// Keeps the records of some keys of a topic at the wanted values. Every record is appended only if
/// the topic has not grown since it was read, so neither a lost answer nor a late call of another
/// process can leave an older value behind. What a store lacks that came back from an older copy is
/// written again. Load: two calls for each change.
class KeyedRecordWriter
{
public:
    /// Called with the newest records of the topic, each time they have been read.
    using ReadHandler = std::function<void(const LogRecords &)>;
    /// Called when a record has been stored, or could not be.
    using WriteHandler =
            std::function<void(const std::string &key, const std::string &value, std::error_code)>;

    /// The log must outlive the writer, and the writer its pending calls.
    KeyedRecordWriter(std::string topic, RecordLog &log, std::function<Instant()> now);

    void setReadHandler(ReadHandler handler) { m_readHandler = std::move(handler); }
    void setWriteHandler(WriteHandler handler) { m_writeHandler = std::move(handler); }

    /// Forgets what is stored and wanted, since another process may have written. The topic is read
    /// before the next append.
    void reset();
    /// Sets the value that the key's record should have.
    void want(const std::string &key, std::string value);
    /// Whether the store is known to have the value.
    bool isStored(const std::string &key, std::string_view value) const;
    /// Whether the topic has been read since the last reset() and restore of the store.
    bool hasRead() const { return m_end.has_value(); }
    /// Takes the next step. Call periodically.
    void advance();

private:
    void read();
    void handleRead(std::error_code error, const LogRecords &records);
    void append(const std::string &key, const std::string &value);
    void handleAppended(const std::string &key, const std::string &value, std::error_code error,
                        LogOffset offset);
    void readAgain(std::error_code error);

    const std::string m_topic;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    ReadHandler m_readHandler;
    WriteHandler m_writeHandler;
    std::map<std::string, std::string> m_wanted;
    std::map<std::string, std::string> m_stored;
    std::optional<LogOffset> m_end; ///< Of the topic; empty if it is to be read.
    Instant m_nextCallAt;
    unsigned m_resets = 0; ///< Answers to calls from before the last reset() are ignored.
    bool m_isCallPending = false;
};

} // namespace monsoonsail
