#pragma once

#include "servers/ports/serving_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace monsoonsail {

/// Counters, latency histograms and gauges of one process.
class PrometheusMetrics : public ServingMetrics
{
public:
    PrometheusMetrics();

    void recordAnswer(std::string_view route, std::string_view account, Duration first,
                      Duration total) override;
    void recordLongestPause(std::string_view route, Duration longest) override;
    void recordRefusal(std::string_view account, ErrorKind kind) override;
    void recordAdmissionRefusal(std::string_view reason, unsigned urgency) override;
    void recordAttempt(std::string_view service, AttemptResult result) override;
    void recordTakeUp(std::string_view service, std::string_view outcome) override;
    void recordJudgedStreamEnd(std::string_view service, StreamEndGround ground) override;
    void recordTooLongAnswer(std::string_view service) override;
    void recordRolloutRun(std::string_view service, std::string_view phase) override;
    void recordPlatformCall(std::string_view call, std::string_view subject) override;
    void recordEndpointUpdate(Duration age) override;
    void recordConfiguration(std::string_view source, Duration behindFor) override;
    void recordRolloutPhase(std::string_view service, std::string_view phase) override;
    /// Records callers that were refused or whose connections were closed for this reason.
    void recordCallerFaults(std::string_view reason, std::uint64_t count);
    void recordPredictionError(std::string_view service, std::string_view route,
                               PredictedPoint point, double ratio) override;
    /// Records how late a periodic task of the control thread ran.
    void recordLoopDelay(Duration delay);

    /// Sets the gauge with this name, and creates it on the first call.
    void setGauge(const std::string &name, const std::string &help, double value);
    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    using Histograms = prometheus::Family<prometheus::Histogram>;
    using Counters = prometheus::Family<prometheus::Counter>;
    /// Series by the values of their labels. Cached, since a lookup in a family hashes all labels.
    template <typename Series>
    using SeriesMap = std::map<std::pair<std::string, std::string>, Series *>;

    prometheus::Registry m_registry;
    Histograms &m_requestTimeFamily;
    Histograms &m_firstByteTimeFamily;
    Histograms &m_longestPauseFamily;
    Counters &m_refusalFamily;
    Counters &m_admissionRefusalFamily;
    Counters &m_attemptFamily;
    Counters &m_takeUpFamily;
    Counters &m_judgedStreamEndFamily;
    Counters &m_tooLongAnswerFamily;
    Counters &m_rolloutRunFamily;
    Counters &m_platformCallFamily;
    Counters &m_rolloutPhaseFamily;
    Counters &m_callerFaultFamily;
    Histograms &m_configurationDelayFamily;
    Histograms &m_predictionErrorFamily;
    prometheus::Histogram &m_endpointUpdateAge;
    prometheus::Histogram &m_loopDelay;
    SeriesMap<prometheus::Histogram> m_requestTimes;
    SeriesMap<prometheus::Histogram> m_firstByteTimes;
    SeriesMap<prometheus::Histogram> m_longestPauses;
    SeriesMap<prometheus::Counter> m_refusals;
    SeriesMap<prometheus::Counter> m_admissionRefusals;
    SeriesMap<prometheus::Counter> m_attempts;
    SeriesMap<prometheus::Counter> m_takeUps;
    SeriesMap<prometheus::Counter> m_judgedStreamEnds;
    SeriesMap<prometheus::Counter> m_tooLongAnswers;
    SeriesMap<prometheus::Counter> m_rolloutRuns;
    SeriesMap<prometheus::Counter> m_platformCalls;
    SeriesMap<prometheus::Counter> m_rolloutPhases;
    SeriesMap<prometheus::Counter> m_callerFaults;
    SeriesMap<prometheus::Histogram> m_configurationDelays;
    SeriesMap<prometheus::Histogram> m_firstEventErrors;
    SeriesMap<prometheus::Histogram> m_endErrors;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

} // namespace monsoonsail
