#pragma once

#include "core/instant.h"
#include "drivers/metrics/prometheus_metrics.h"
#include "drivers/traffic/caller_faults.h"
#include "servers/ports/decision_log.h"

namespace monsoonsail {

/// Passes the counts of callers' faults on to the metrics, and to the log at most once in a while.
class CallerFaultReport
{
public:
    /// All references must outlive the report.
    CallerFaultReport(const CallerFaults &faults, DecisionLog &log, PrometheusMetrics &metrics);

    void advance(Instant now);

private:
    void writeLine(const CallerFaults::Counts &counts);

    const CallerFaults &m_faults;
    DecisionLog &m_log;
    PrometheusMetrics &m_metrics;
    CallerFaults::Counts m_recorded{};
    CallerFaults::Counts m_logged{};
    Instant m_nextLineAt = Instant::min();
};

} // namespace monsoonsail
