#include "servers/store/topic_follower.h"

#include "core/log_position.h"
#include "core/store_error.h"

#include <algorithm>
#include <set>
#include <utility>

namespace monsoonsail {

namespace {
/// Delays after failed reads. They grow, since refused calls cost money too, but only so far that
/// the end of an outage is noticed soon.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(500);
/// Minimum time between the starts of two reads by refresh(). Short compared with the time until a
/// configuration has to be in force (seconds).
constexpr Duration refreshInterval = std::chrono::milliseconds(500);
/// A follower that becomes active later than this after its last read starts over.
constexpr Duration maxBacklogTime = std::chrono::seconds(5);
} // namespace

TopicFollower::TopicFollower(std::string topic, Timing timing, RecordLog &log, TopicSink &sink,
                             Scheduler scheduler, DecisionLog &decisions)
    : m_topic(std::move(topic))
    , m_timing(timing)
    , m_log(log)
    , m_sink(sink)
    , m_scheduler(std::move(scheduler))
    , m_decisions(decisions)
{ }

void TopicFollower::setActive(bool active)
{
    if (std::exchange(m_active, active) == active || !active || m_isReading)
        return;
    // The whole list is shorter than a long backlog of changes.
    const Instant now = m_scheduler.now();
    scheduleRead(now, !m_nextOffset || m_readStartedAt + maxBacklogTime < now);
}

void TopicFollower::refresh()
{
    // After a failure a retry is due soon, and refused calls cost money.
    if (m_isReading || m_failures > 0)
        m_needsRefresh = true;
    else if (!m_isRefreshScheduled) {
        scheduleRead(std::max(m_scheduler.now(), m_readStartedAt + refreshInterval), true);
        m_isRefreshScheduled = true;
    }
}

void TopicFollower::scheduleRead(Instant at, bool newest)
{
    m_isRefreshScheduled = false;
    m_scheduler.at(at, [this, newest, number = ++m_scheduledRead] {
        if (number != m_scheduledRead || m_isReading)
            return;
        m_isRefreshScheduled = false;
        if (newest)
            readNewest();
        else
            read();
    });
}

void TopicFollower::readNewest()
{
    m_isReading = true;
    m_needsRefresh = false;
    m_readStartedAt = m_scheduler.now();
    m_log.readNewest(m_topic, [this](std::error_code error, const LogRecords &records) {
        handleNewest(error, records);
    });
}

void TopicFollower::handleNewest(std::error_code error, const LogRecords &records)
{
    m_isReading = false;
    if (error) {
        scheduleRetry(error);
        return;
    }
    const Instant now = m_scheduler.now();
    std::set<std::string> keys;
    for (const LogRecord &record : records.records) {
        keys.insert(record.key);
        m_sink.onValueChanged(record, now);
    }
    // The sink may know keys that no read of this instance has returned.
    const bool isEmpty = LogPosition::of(records.end).offset == 0;
    const LogOffset lastOffset = isEmpty ? records.end : records.end - 1;
    for (const std::string &key : m_sink.knownKeys()) {
        if (!keys.contains(key))
            m_sink.onKeyRemoved(key, lastOffset, now);
    }
    m_nextOffset = records.end;
    m_asOf = m_readStartedAt;
    m_sink.onCaughtUp(records.end, m_asOf, now);
    finishSuccessfulRead();
}

void TopicFollower::read()
{
    m_isReading = true;
    m_readStartedAt = m_scheduler.now();
    m_log.read(m_topic, *m_nextOffset, m_readStartedAt + m_timing.longPollTime,
               [this](std::error_code error, const LogRecords &records) {
                   handleRead(error, records);
               });
}

void TopicFollower::handleRead(std::error_code error, const LogRecords &records)
{
    m_isReading = false;
    // The end of an empty topic of era 0 is 0, from where the store reads in any era.
    const bool isOtherEra =
            !error && LogPosition::of(records.end).era != LogPosition::of(*m_nextOffset).era;
    if (error == StoreError::Expired || isOtherEra) {
        m_decisions.write(
                LogLevel::Info, "topic-reread", {},
                {{"topic", m_topic}, {"offset", static_cast<std::int64_t>(*m_nextOffset)}});
        readNewest();
        return;
    }
    if (error) {
        scheduleRetry(error);
        return;
    }
    const Instant now = m_scheduler.now();
    for (const LogRecord &record : records.records) {
        if (record.value.empty())
            m_sink.onKeyRemoved(record.key, record.offset, now);
        else
            m_sink.onValueChanged(record, now);
    }
    m_nextOffset = records.end;
    // A read without records has waited for the whole long poll time, so it covers that time.
    const bool reachedTimeout = records.records.empty();
    if (!records.isCutOff)
        m_asOf = reachedTimeout ? std::min(m_readStartedAt + m_timing.longPollTime, now)
                                : m_readStartedAt;
    m_sink.onCaughtUp(records.end, m_asOf, now);
    finishSuccessfulRead();
}

void TopicFollower::finishSuccessfulRead()
{
    if (m_failures > 0) {
        m_decisions.write(
                LogLevel::Info, "topic-regained", {},
                {{"topic", m_topic}, {"failures", static_cast<std::int64_t>(m_failures)}});
    }
    m_failures = 0;
    scheduleNextRead();
}

void TopicFollower::scheduleNextRead()
{
    const Instant now = m_scheduler.now();
    if (m_needsRefresh)
        scheduleRead(std::max(now, m_readStartedAt + refreshInterval), true);
    else if (m_active)
        scheduleRead(std::max(now, m_readStartedAt + m_timing.minInterval), false);
    else
        scheduleRead(m_readStartedAt + m_timing.passiveInterval, true);
}

void TopicFollower::scheduleRetry(std::error_code error)
{
    const Instant now = m_scheduler.now();
    if (m_failures == 0) {
        m_decisions.write(LogLevel::Warning, "topic-lost", {},
                          {{"topic", m_topic}, {"error", error.message()}});
    }
    ++m_failures;
    m_sink.onReadFailed(error, m_readStartedAt, now);
    const Duration retryDelay = std::min(initialRetryDelay * m_failures, maxRetryDelay);
    scheduleRead(now + retryDelay, !m_nextOffset || m_needsRefresh || !m_active);
}

} // namespace monsoonsail
