#pragma once

#include "servers/ports/decision_log.h"

#include <string>
#include <vector>

namespace monsoonsail {

/// Records the names of the logged events.
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
