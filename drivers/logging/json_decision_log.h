#pragma once

#include "core/instant.h"
#include "drivers/logging/log_writer.h"
#include "drivers/time/clock.h"
#include "servers/ports/decision_log.h"

#include <array>
#include <cstdint>
#include <string>

namespace monsoonsail {

/// Writes each decision as one line with a JSON object. The lines per second are limited for each
/// level; lines over the limit are dropped and counted. Not thread-safe.
class JsonDecisionLog : public DecisionLog
{
public:
    /// `instance` and `incarnation` are part of every line. The references must outlive the log.
    JsonDecisionLog(LogWriter &writer, const Clock &clock, std::string instance,
                    std::string incarnation);

    void write(LogLevel level, std::string_view event, std::string_view request,
               std::initializer_list<LogField> fields) override;
    /// Writes a line with the number of lines dropped since the last call, if there were any.
    void reportDropped();

private:
    /// Token bucket that holds the lines of one second at most.
    struct LineBudget
    {
        double lines = 0;
        Instant refilledAt;
    };

    /// Takes one line from the budget of `level`. Returns false if it is used up.
    bool takeLine(LogLevel level, Instant now);

    LogWriter &m_writer;
    const Clock &m_clock;
    const std::string m_instance;
    const std::string m_incarnation;
    std::array<LineBudget, 3> m_budgets;
    std::uint64_t m_dropped = 0;
};

} // namespace monsoonsail
