#include "main/monsoonsaild/caller_fault_report.h"

#include <string>

namespace monsoonsail {

namespace {
constexpr Duration lineInterval = std::chrono::seconds(10);
} // namespace

CallerFaultReport::CallerFaultReport(const CallerFaults &faults, DecisionLog &log,
                                     PrometheusMetrics &metrics)
    : m_faults(faults)
    , m_log(log)
    , m_metrics(metrics)
{ }

void CallerFaultReport::advance(Instant now)
{
    const CallerFaults::Counts counts = m_faults.counts();
    for (std::size_t index = 0; index < counts.size(); ++index) {
        if (counts[index] > m_recorded[index])
            m_metrics.recordCallerFaults(callerFaultNames[index],
                                         counts[index] - m_recorded[index]);
    }
    m_recorded = counts;
    if (counts == m_logged || now < m_nextLineAt)
        return;
    writeLine(counts);
    m_logged = counts;
    m_nextLineAt = now + lineInterval;
}

void CallerFaultReport::writeLine(const CallerFaults::Counts &counts)
{
    std::string reasons;
    std::uint64_t callers = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const std::uint64_t count = counts[index] - m_logged[index];
        if (count == 0)
            continue;
        callers += count;
        reasons += (reasons.empty() ? "" : " ") + std::string(callerFaultNames[index]) + "="
                + std::to_string(count);
    }
    m_log.write(LogLevel::Warning, "callers-refused", {},
                {{"callers", toLog(callers)}, {"reasons", std::string_view(reasons)}});
}

} // namespace monsoonsail
