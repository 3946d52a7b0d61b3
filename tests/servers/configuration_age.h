#pragma once

#include "servers/serving/serving_context.h"
#include "servers/store/topic_follower.h"

#include <string>
#include <vector>

namespace monsoonsail {

/// Records how recent the knowledge of a configuration is that never changes.
class ConfigurationAge : public TopicSink
{
public:
    explicit ConfigurationAge(ServingContext &context)
        : m_context(context)
    { }

    void onValueChanged(const LogRecord & /*record*/, Instant /*now*/) override { }
    std::vector<std::string> knownKeys() const override { return {}; }
    void onKeyRemoved(const std::string & /*key*/, LogOffset /*offset*/, Instant /*now*/) override
    { }
    void onCaughtUp(LogOffset /*end*/, Instant asOf, Instant /*now*/) override
    {
        m_context.configurationAsOf = asOf;
    }
    void onReadFailed(std::error_code /*error*/, Instant /*since*/, Instant /*now*/) override { }

private:
    ServingContext &m_context;
};

} // namespace monsoonsail
