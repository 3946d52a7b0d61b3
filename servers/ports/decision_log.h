#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <utility>
#include <variant>

namespace monsoonsail {

/// A named value of a log line.
struct LogField
{
    using Value = std::variant<std::string_view, std::int64_t, double, bool>;

    std::string_view name;
    Value value;
};

/// Converts a count to the value of a log field.
constexpr std::int64_t toLog(std::uint64_t count)
{
    return static_cast<std::int64_t>(count);
}

enum class LogLevel {
    Detail, ///< Normal steps of a request; dropped first under load.
    Info,
    Warning, ///< Something failed, or a request was refused.
};

/// Structured log of events, with one line for each decision.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;

    /// `event` names the decision in kebab case. `request` is the caller's id of the request that
    /// it concerns, or empty.
    virtual void write(LogLevel level, std::string_view event, std::string_view request,
                       std::initializer_list<LogField> fields) = 0;
};

} // namespace monsoonsail
