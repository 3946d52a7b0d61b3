#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// Receives the contents of a topic with keys.
class TopicSink
{
public:
    virtual ~TopicSink() = default;

    /// A key has a new value.
    virtual void onValueChanged(const LogRecord &record, Instant now) = 0;
    /// A key was dropped, by the record at `offset` or an earlier one.
    virtual void onKeyRemoved(const std::string &key, LogOffset offset, Instant now) = 0;
    /// Everything up to `asOf` has been told, and everything in the topic before `end`.
    virtual void onCaughtUp(LogOffset end, Instant asOf, Instant now) = 0;
    /// The store could not be read, by a call begun at `since`.
    virtual void onReadFailed(std::error_code error, Instant since, Instant now) = 0;
};

/// Keeps a sink up to date with a topic: reads its newest records, then what follows, and starts
/// over when records were dropped before they were read. While others follow the topic for it, it
/// only reads the newest records now and then.
class TopicFollower
{
public:
    struct Timing
    {
        Duration longPollTime{}; ///< How long a read waits for a record.
        Duration minInterval{};  ///< From the start of one read to the start of the next, at least.
        Duration passiveInterval{}; ///< The same while others follow the topic.
    };
    /// Returns the current instant and calls a task later.
    struct Scheduler
    {
        std::function<Instant()> now;
        std::function<void(Instant, std::function<void()>)> at;
    };

    /// All references must outlive the follower, and the follower its pending calls.
    TopicFollower(std::string topic, Timing timing, RecordLog &log, TopicSink &sink,
                  Scheduler scheduler, DecisionLog &decisions);

    void start() { readNewest(); }
    /// Sets whether to follow the topic, or to leave that to others.
    void setActive(bool active);
    /// Sets the time between two reads while others follow the topic.
    void setPassiveInterval(Duration interval) { m_timing.passiveInterval = interval; }
    /// Reads the newest records soon.
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
    /// Has the next step taken at `at`, in place of the one that was planned.
    void scheduleRead(Instant at, bool newest);

    const std::string m_topic;
    Timing m_timing;
    RecordLog &m_log;
    TopicSink &m_sink;
    const Scheduler m_scheduler;
    DecisionLog &m_decisions;
    std::optional<LogOffset> m_nextOffset; ///< Nothing before the newest records have been read.
    std::set<std::string> m_keys;          ///< Keys that have a value.
    Instant m_readStartedAt;               ///< Start of the current read.
    unsigned m_failures = 0;               ///< In a row.
    bool m_active = true;
    bool m_isReading = false;     ///< Whether a call is under way.
    bool m_needsRefresh = false;  ///< Whether refresh() was called during it.
    unsigned m_scheduledRead = 0; ///< Number of the planned step; an earlier one is dropped.
};

} // namespace monsoonsail
