#pragma once

#include "core/store_error.h"
#include "servers/ports/record_log.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// A log in memory. Calls are held until answerPending(), and can be refused or have their answers
/// lost.
class MemoryLog : public RecordLog
{
public:
    void read(std::string_view topic, LogOffset from, Instant /*waitUntil*/, ReadDone done) override
    {
        ++reads;
        enqueue([this, topic = std::string(topic), from, done = std::move(done)] {
            const std::vector<LogRecord> &all = topics[topic];
            LogRecords records{.end = std::max<LogOffset>(from, all.size()), .first = first[topic]};
            if (error || from < records.first) {
                done(error ? error : StoreError::Expired, records);
                return;
            }
            for (LogOffset offset = from; offset < all.size(); ++offset)
                records.records.push_back(all.at(offset));
            if (records.records.size() > maxRecordsPerRead) {
                records.records.resize(maxRecordsPerRead);
                records.end = from + maxRecordsPerRead;
                records.isCutOff = true;
            }
            done({}, records);
        });
    }

    void readNewest(std::string_view topic, ReadDone done) override
    {
        ++newestReads;
        enqueue([this, topic = std::string(topic), done = std::move(done)] {
            const std::vector<LogRecord> &all = topics[topic];
            std::map<std::string, LogRecord> newest;
            for (const LogRecord &record : all)
                newest[record.key] = record;
            LogRecords records{.end = all.size()};
            for (const auto &[key, record] : newest) {
                if (!record.value.empty())
                    records.records.push_back(record);
            }
            done(error, error ? LogRecords() : records);
        });
    }

    void append(std::string_view topic, std::string_view key, std::string_view value,
                std::optional<LogOffset> at, AppendDone done) override
    {
        ++appends;
        enqueue([this, topic = std::string(topic), key = std::string(key),
                 value = std::string(value), at, done = std::move(done)] {
            std::vector<LogRecord> &all = topics[topic];
            if (error) {
                done(error, 0);
                return;
            }
            if (at && *at != all.size()) {
                done(StoreError::Conflict, all.size());
                return;
            }
            all.push_back({.offset = all.size(), .key = key, .value = value});
            if (onAppended)
                onAppended(topic);
            done(losesAnswers ? StoreError::Unreachable : std::error_code(), all.size() - 1);
        });
    }

    /// Answers the pending calls, and those made by their handlers.
    void answerPending()
    {
        while (!m_pendingCalls.empty()) {
            const auto call = std::move(m_pendingCalls.front());
            m_pendingCalls.pop_front();
            call();
        }
    }

    std::map<std::string, std::vector<LogRecord>> topics;
    std::map<std::string, LogOffset> first; ///< Oldest offset that is still readable, by topic.
    std::error_code error;                  ///< Error that every call gets while it is set.
    bool losesAnswers = false;              ///< Appends are stored but fail as unreachable.
    /// Called with the topic of each stored record, before the append is answered.
    std::function<void(const std::string &)> onAppended;
    std::size_t maxRecordsPerRead = SIZE_MAX;
    int reads = 0;
    int newestReads = 0;
    int appends = 0;

private:
    void enqueue(std::function<void()> call) { m_pendingCalls.push_back(std::move(call)); }

    std::deque<std::function<void()>> m_pendingCalls;
};

} // namespace monsoonsail
