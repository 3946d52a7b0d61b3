#pragma once

#include "servers/store/topic_follower.h"

#include <utility>
#include <vector>

namespace monsoonsail {

/// Passes the contents of one topic on to several sinks, each of which uses only keys of its own.
class TopicFanOut : public TopicSink
{
public:
    /// The sinks must outlive the object.
    explicit TopicFanOut(std::vector<TopicSink *> sinks)
        : m_sinks(std::move(sinks))
    { }

    void onValueChanged(const LogRecord &record, Instant now) override
    {
        for (TopicSink *sink : m_sinks)
            sink->onValueChanged(record, now);
    }
    std::vector<std::string> knownKeys() const override
    {
        std::vector<std::string> keys;
        for (const TopicSink *sink : m_sinks) {
            for (std::string &key : sink->knownKeys())
                keys.push_back(std::move(key));
        }
        return keys;
    }
    void onKeyRemoved(const std::string &key, LogOffset offset, Instant now) override
    {
        for (TopicSink *sink : m_sinks)
            sink->onKeyRemoved(key, offset, now);
    }
    void onCaughtUp(LogOffset end, Instant asOf, Instant now) override
    {
        for (TopicSink *sink : m_sinks)
            sink->onCaughtUp(end, asOf, now);
    }
    void onReadFailed(std::error_code error, Instant since, Instant now) override
    {
        for (TopicSink *sink : m_sinks)
            sink->onReadFailed(error, since, now);
    }

private:
    std::vector<TopicSink *> m_sinks;
};

} // namespace monsoonsail
