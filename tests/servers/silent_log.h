#pragma once

#include "servers/ports/decision_log.h"

namespace monsoonsail {

/// Drops all lines.
class SilentLog : public DecisionLog
{
public:
    void write(LogLevel /*level*/, std::string_view /*event*/, std::string_view /*request*/,
               std::initializer_list<LogField> /*fields*/) override
    { }
};

} // namespace monsoonsail
