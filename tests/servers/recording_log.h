#pragma once

#include "servers/ports/decision_log.h"

#include <string>
#include <vector>

namespace monsoonsail {

/// Keeps the names of the decisions that were logged.
class RecordingLog : public DecisionLog
{
public:
    void write(LogLevel /*level*/, std::string_view event, std::string_view /*request*/,
               std::initializer_list<LogField> /*fields*/) override
    {
        events.emplace_back(event);
    }

    std::vector<std::string> events;
};

} // namespace monsoonsail
