#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace monsoonsail {

/// Receives the contents of a topic with keys.
class TopicSink
{
public:
    virtual ~TopicSink() = default;

    /// Receives the record with the new value of a key.
    virtual void onValueChanged(const LogRecord &record, Instant now) = 0;
    /// Returns the keys that have a value as far as the sink knows, whatever it knows them from.
    virtual std::vector<std::string> knownKeys() const = 0;
    /// Called when a key was removed by the record at `offset` or an earlier one.
    virtual void onKeyRemoved(const std::string &key, LogOffset offset, Instant now) = 0;
    /// Called when all changes up to `asOf`, and all records before `end`, have been passed on.
    virtual void onCaughtUp(LogOffset end, Instant asOf, Instant now) = 0;
    /// Called when a read that started at `since` failed.
    virtual void onReadFailed(std::error_code error, Instant since, Instant now) = 0;
};

/// Keeps a sink up to date with a topic: reads the newest record of each key, then the records that
/// follow, and starts over if records expired before they were read. While passive, it only reads
/// the newest records from time to time, since other instances follow the topic.
class TopicFollower
{
public:
    struct Timing
    {
        Duration longPollTime{};    ///< How long a read waits for a new record.
        Duration minInterval{};     ///< Shortest time between the starts of two reads.
        Duration passiveInterval{}; ///< Time between the starts of two reads while passive.
    };
    /// Returns the current instant, and runs a task at a later one.
    struct Scheduler
    {
        std::function<Instant()> now;
        std::function<void(Instant, std::function<void()>)> at;
    };

    /// All references must outlive the follower, and the follower its pending calls.
    TopicFollower(std::string topic, Timing timing, RecordLog &log, TopicSink &sink,
                  Scheduler scheduler, DecisionLog &decisions);

    void start() { readNewest(); }
    /// Sets whether to follow the topic or to be passive.
    void setActive(bool active);
    /// Sets the time between the starts of two reads while passive.
    void setPassiveInterval(Duration interval) { m_timing.passiveInterval = interval; }
    /// Reads the newest records as soon as the calls in progress and retry delays permit. Calls in
    /// quick succession share a read.
    void refresh();
    bool isActive() const { return m_active; }

private:
    void readNewest();
    void read();
    void handleNewest(std::error_code error, const LogRecords &records);
    void handleRead(std::error_code error, const LogRecords &records);
    void scheduleRetry(std::error_code error);
    void finishSuccessfulRead();
    void scheduleNextRead();
    /// Schedules the next read in place of the one scheduled before. `newest` selects readNewest()
    /// instead of read().
    void scheduleRead(Instant at, bool newest);

    const std::string m_topic;
    Timing m_timing;
    RecordLog &m_log;
    TopicSink &m_sink;
    const Scheduler m_scheduler;
    DecisionLog &m_decisions;
    std::optional<LogOffset> m_nextOffset; ///< Empty before the newest records have been read.
    Instant m_readStartedAt;               ///< Start of the current or last read.
    Instant m_asOf;                        ///< All changes up to this instant have been passed on.
    unsigned m_failures = 0;               ///< Number of consecutive failed reads.
    bool m_active = true;
    bool m_isReading = false;          ///< Whether a read is in progress.
    bool m_needsRefresh = false;       ///< Whether refresh() waits for a read or retry to end.
    bool m_isRefreshScheduled = false; ///< Whether the scheduled read is that of a refresh().
    /// Number of the scheduled read; those scheduled earlier are ignored.
    unsigned m_scheduledRead = 0;
};

} // namespace monsoonsail
