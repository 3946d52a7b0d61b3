#include "servers/store/topic_follower.h"

#include "core/store_error.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
/// Pauses after failed reads. Refused calls are paid for, so they grow; but an outage must not be
/// noticed as over much later than it is.
constexpr Duration firstRetry = std::chrono::milliseconds(100);
constexpr Duration longestRetry = std::chrono::milliseconds(500);
} // namespace

TopicFollower::TopicFollower(std::string topic, Pace pace, RecordLog &log, TopicSink &sink,
                             Scheduler scheduler, DecisionLog &decisions)
    : m_topic(std::move(topic))
    , m_pace(pace)
    , m_log(log)
    , m_sink(sink)
    , m_scheduler(std::move(scheduler))
    , m_decisions(decisions)
{ }

void TopicFollower::readNewest()
{
    m_startedAt = m_scheduler.now();
    m_log.readNewest(m_topic, [this](std::error_code error, const LogRecords &records) {
        handleNewest(error, records);
    });
}

void TopicFollower::handleNewest(std::error_code error, const LogRecords &records)
{
    if (error) {
        retry(error);
        return;
    }
    const Instant now = m_scheduler.now();
    std::set<std::string> keys;
    for (const LogRecord &record : records.records) {
        keys.insert(record.key);
        m_sink.changed(record, now);
    }
    for (const std::string &key : m_keys) {
        if (!keys.contains(key))
            m_sink.dropped(key, now);
    }
    m_keys = std::move(keys);
    m_next = records.end;
    m_sink.current(m_startedAt, now);
    succeeded();
}

void TopicFollower::read()
{
    m_startedAt = m_scheduler.now();
    m_log.read(m_topic, *m_next, m_startedAt + m_pace.wait,
               [this](std::error_code error, const LogRecords &records) {
                   handleRead(error, records);
               });
}

void TopicFollower::handleRead(std::error_code error, const LogRecords &records)
{
    if (error == StoreError::Expired) {
        m_decisions.write(LogLevel::Info, "topic-reread", {},
                          {{"topic", m_topic}, {"offset", static_cast<std::int64_t>(*m_next)}});
        readNewest();
        return;
    }
    if (error) {
        retry(error);
        return;
    }
    const Instant now = m_scheduler.now();
    for (const LogRecord &record : records.records) {
        if (record.value.empty()) {
            m_keys.erase(record.key);
            m_sink.dropped(record.key, now);
        } else {
            m_keys.insert(record.key);
            m_sink.changed(record, now);
        }
    }
    m_next = records.end;
    m_sink.current(m_startedAt, now);
    succeeded();
}

void TopicFollower::succeeded()
{
    if (m_failures > 0) {
        m_decisions.write(LogLevel::Info, "topic-regained", {},
                          {{"topic", m_topic},
                           {"failures", static_cast<std::int64_t>(m_failures)}});
    }
    m_failures = 0;
    const Instant next = std::max(m_scheduler.now(), m_startedAt + m_pace.interval);
    m_scheduler.at(next, [this] { read(); });
}

void TopicFollower::retry(std::error_code error)
{
    const Instant now = m_scheduler.now();
    if (m_failures == 0) {
        m_decisions.write(LogLevel::Warning, "topic-lost", {},
                          {{"topic", m_topic}, {"error", error.message()}});
    }
    ++m_failures;
    m_sink.interrupted(error, now);
    const Duration pause = std::min(firstRetry * m_failures, longestRetry);
    m_scheduler.at(now + pause, [this] {
        if (m_next)
            read();
        else
            readNewest();
    });
}

} // namespace monsoonsail
