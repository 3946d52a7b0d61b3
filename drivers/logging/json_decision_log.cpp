#include "drivers/logging/json_decision_log.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace monsoonsail {

namespace {

/// By level, in the order of LogLevel. At the present load a daemon handles about 50 requests per
/// second and logs about four lines for each.
constexpr std::array<double, 3> maxLinesPerSecond{300, 200, 300};
constexpr std::array<std::string_view, 3> levelNames{"detail", "info", "warning"};

std::size_t indexOf(LogLevel level)
{
    return static_cast<std::size_t>(level);
}

double wallClockSeconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<double>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count())
            / 1000;
}

} // namespace

JsonDecisionLog::JsonDecisionLog(LogWriter &writer, const Clock &clock, std::string instance,
                                 std::string incarnation)
    : m_writer(writer)
    , m_clock(clock)
    , m_instance(std::move(instance))
    , m_incarnation(std::move(incarnation))
{
    for (std::size_t level = 0; level < m_budgets.size(); ++level)
        m_budgets.at(level) = {.lines = maxLinesPerSecond.at(level), .refilledAt = clock.now()};
}

void JsonDecisionLog::write(LogLevel level, std::string_view event, std::string_view request,
                            std::initializer_list<LogField> fields)
{
    if (!takeLine(level, m_clock.now())) {
        ++m_dropped;
        return;
    }
    nlohmann::ordered_json line{{"time", wallClockSeconds()},
                                {"level", levelNames.at(indexOf(level))},
                                {"instance", m_instance},
                                {"incarnation", m_incarnation},
                                {"event", event}};
    if (!request.empty())
        line["request"] = request;
    for (const LogField &field : fields)
        std::visit([&](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    m_writer.add(toJsonText(line));
}

void JsonDecisionLog::reportDropped()
{
    const std::uint64_t dropped = std::exchange(m_dropped, 0) + m_writer.takeDropped();
    if (dropped > 0) {
        write(LogLevel::Info, "log-lines-dropped", {},
              {{"lines", static_cast<std::int64_t>(dropped)}});
    }
}

bool JsonDecisionLog::takeLine(LogLevel level, Instant now)
{
    LineBudget &budget = m_budgets.at(indexOf(level));
    const double rate = maxLinesPerSecond.at(indexOf(level));
    const double elapsed = toSeconds(now - budget.refilledAt);
    budget.lines = std::min(rate, budget.lines + elapsed * rate);
    budget.refilledAt = now;
    if (budget.lines < 1)
        return false;
    budget.lines -= 1;
    return true;
}

} // namespace monsoonsail
