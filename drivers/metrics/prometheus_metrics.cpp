#include "drivers/metrics/prometheus_metrics.h"

#include <prometheus/text_serializer.h>

#include <chrono>

namespace monsoonsail {

namespace {

constexpr const char *accountLabel = "account";
constexpr const char *routeLabel = "route";

/// In seconds. They range from a quick lookup up to the longest time limit of a route. Neighbours
/// differ by a factor of two at most, so that each latency goal of a site lies between close
/// bounds.
const prometheus::Histogram::BucketBoundaries &latencyBucketBounds()
{
    static const prometheus::Histogram::BucketBoundaries bounds{
            0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.35, 0.6, 1.2, 2, 4, 8, 16, 32};
    return bounds;
}

const prometheus::Histogram::BucketBoundaries &ratioBucketBounds()
{
    static const prometheus::Histogram::BucketBoundaries bounds{0.25, 0.5, 0.67, 0.8, 0.9, 1.1,
                                                                1.25, 1.5, 2,    3,   5};
    return bounds;
}

template <typename Series, typename Add>
Series &findOrAddSeries(std::map<std::pair<std::string, std::string>, Series *> &seriesByLabels,
                        std::string_view first, std::string_view second, Add add)
{
    Series *&series = seriesByLabels[{std::string(first), std::string(second)}];
    if (series == nullptr)
        series = &add();
    return *series;
}

} // namespace

PrometheusMetrics::PrometheusMetrics()
    : m_requestTimeFamily(
            prometheus::BuildHistogram()
                    .Name("monsoonsail_request_seconds")
                    .Help("Time from the arrival of a request to the end of its answer")
                    .Register(m_registry))
    , m_firstByteTimeFamily(
              prometheus::BuildHistogram()
                      .Name("monsoonsail_first_byte_seconds")
                      .Help("Time from the arrival of a request to the begin of its answer")
                      .Register(m_registry))
    , m_longestPauseFamily(prometheus::BuildHistogram()
                                   .Name("monsoonsail_longest_pause_seconds")
                                   .Help("Longest time between two events of a stream")
                                   .Register(m_registry))
    , m_refusalFamily(prometheus::BuildCounter()
                              .Name("monsoonsail_refusals_total")
                              .Help("Requests that got an error, by account and kind")
                              .Register(m_registry))
    , m_admissionRefusalFamily(
              prometheus::BuildCounter()
                      .Name("monsoonsail_admission_refusals_total")
                      .Help("Requests refused for an allowance or for places of engines, by reason "
                            "and urgency")
                      .Register(m_registry))
    , m_attemptFamily(prometheus::BuildCounter()
                              .Name("monsoonsail_attempts_total")
                              .Help("Attempts on endpoints, by service and result")
                              .Register(m_registry))
    , m_takeUpFamily(prometheus::BuildCounter()
                             .Name("monsoonsail_stream_take_ups_total")
                             .Help("Streams that callers took up again, by service and outcome")
                             .Register(m_registry))
    , m_judgedStreamEndFamily(prometheus::BuildCounter()
                                      .Name("monsoonsail_judged_stream_ends_total")
                                      .Help("Streams that endpoints closed after an order to stop "
                                            "them, by service and ground")
                                      .Register(m_registry))
    , m_tooLongAnswerFamily(prometheus::BuildCounter()
                                    .Name("monsoonsail_too_long_answers_total")
                                    .Help("Answers of endpoints that were given up for their "
                                          "length, by service")
                                    .Register(m_registry))
    , m_rolloutRunFamily(prometheus::BuildCounter()
                                 .Name("monsoonsail_rollout_runs_total")
                                 .Help("Runs sent to a software version that is rolled out, by "
                                       "service and phase")
                                 .Register(m_registry))
    , m_platformCallFamily(prometheus::BuildCounter()
                                   .Name("monsoonsail_platform_calls_total")
                                   .Help("Calls to the platform, by kind and topic or duty")
                                   .Register(m_registry))
    , m_rolloutPhaseFamily(prometheus::BuildCounter()
                                   .Name("monsoonsail_rollout_phases_total")
                                   .Help("Changes of phase of roll-outs that this instance has "
                                         "decided, by service and phase")
                                   .Register(m_registry))
    , m_callerFaultFamily(prometheus::BuildCounter()
                                  .Name("monsoonsail_caller_faults_total")
                                  .Help("Callers that were refused or disconnected for what they "
                                        "sent or did not read, by reason")
                                  .Register(m_registry))
    , m_configurationDelayFamily(prometheus::BuildHistogram()
                                         .Name("monsoonsail_configuration_delay_seconds")
                                         .Help("Time for which peers had a later configuration "
                                               "before one took effect here, by its source")
                                         .Register(m_registry))
    , m_predictionErrorFamily(prometheus::BuildHistogram()
                                      .Name("monsoonsail_prediction_error_ratio")
                                      .Help("Actual divided by predicted time from the placement "
                                            "of a request to its first event or its end")
                                      .Register(m_registry))
    , m_endpointUpdateAge(prometheus::BuildHistogram()
                                  .Name("monsoonsail_endpoint_update_seconds")
                                  .Help("Age of changes of endpoints at the sending of the "
                                        "bulletin that brought them here first")
                                  .Register(m_registry)
                                  .Add({}, latencyBucketBounds()))
    , m_loopDelay(prometheus::BuildHistogram()
                          .Name("monsoonsail_loop_delay_seconds")
                          .Help("Time from when the control thread's tick was due until it ran")
                          .Register(m_registry)
                          .Add({}, latencyBucketBounds()))
{ }

void PrometheusMetrics::recordAnswer(std::string_view route, std::string_view account,
                                     Duration first, Duration total)
{
    // One label per histogram: series for each pair of route and account would need too much
    // memory.
    findOrAddSeries(
            m_firstByteTimes, route, {},
            [&]() -> auto & {
                return m_firstByteTimeFamily.Add({{routeLabel, std::string(route)}},
                                                 latencyBucketBounds());
            })
            .Observe(toSeconds(first));
    findOrAddSeries(
            m_requestTimes, account, {},
            [&]() -> auto & {
                return m_requestTimeFamily.Add({{accountLabel, std::string(account)}},
                                               latencyBucketBounds());
            })
            .Observe(toSeconds(total));
}

void PrometheusMetrics::recordLongestPause(std::string_view route, Duration longest)
{
    findOrAddSeries(
            m_longestPauses, route, {},
            [&]() -> auto & {
                return m_longestPauseFamily.Add({{routeLabel, std::string(route)}},
                                                latencyBucketBounds());
            })
            .Observe(toSeconds(longest));
}

void PrometheusMetrics::recordRefusal(std::string_view account, ErrorKind kind)
{
    const std::string_view name = errorAnswer(kind).name;
    findOrAddSeries(
            m_refusals, account, name,
            [&]() -> auto & {
                return m_refusalFamily.Add(
                        {{accountLabel, std::string(account)}, {"kind", std::string(name)}});
            })
            .Increment();
}

void PrometheusMetrics::recordAdmissionRefusal(std::string_view reason, unsigned urgency)
{
    const std::string level = std::to_string(urgency);
    findOrAddSeries(
            m_admissionRefusals, reason, level,
            [&]() -> auto & {
                return m_admissionRefusalFamily.Add(
                        {{"reason", std::string(reason)}, {"urgency", level}});
            })
            .Increment();
}

void PrometheusMetrics::recordAttempt(std::string_view service, AttemptResult result)
{
    const std::string_view name = attemptResultName(result);
    findOrAddSeries(
            m_attempts, service, name,
            [&]() -> auto & {
                return m_attemptFamily.Add(
                        {{"service", std::string(service)}, {"result", std::string(name)}});
            })
            .Increment();
}

void PrometheusMetrics::recordTakeUp(std::string_view service, std::string_view outcome)
{
    findOrAddSeries(
            m_takeUps, service, outcome,
            [&]() -> auto & {
                return m_takeUpFamily.Add(
                        {{"service", std::string(service)}, {"outcome", std::string(outcome)}});
            })
            .Increment();
}

void PrometheusMetrics::recordJudgedStreamEnd(std::string_view service, StreamEndGround ground)
{
    const std::string_view name = streamEndGroundName(ground);
    findOrAddSeries(
            m_judgedStreamEnds, service, name,
            [&]() -> auto & {
                return m_judgedStreamEndFamily.Add(
                        {{"service", std::string(service)}, {"ground", std::string(name)}});
            })
            .Increment();
}

void PrometheusMetrics::recordTooLongAnswer(std::string_view service)
{
    findOrAddSeries(
            m_tooLongAnswers, service, {},
            [&]() -> auto & {
                return m_tooLongAnswerFamily.Add({{"service", std::string(service)}});
            })
            .Increment();
}

void PrometheusMetrics::recordRolloutRun(std::string_view service, std::string_view phase)
{
    findOrAddSeries(
            m_rolloutRuns, service, phase,
            [&]() -> auto & {
                return m_rolloutRunFamily.Add(
                        {{"service", std::string(service)}, {"phase", std::string(phase)}});
            })
            .Increment();
}

void PrometheusMetrics::recordCallerFaults(std::string_view reason, std::uint64_t count)
{
    findOrAddSeries(
            m_callerFaults, reason, {},
            [&]() -> auto & {
                return m_callerFaultFamily.Add({{"reason", std::string(reason)}});
            })
            .Increment(static_cast<double>(count));
}

void PrometheusMetrics::recordPlatformCall(std::string_view call, std::string_view subject)
{
    findOrAddSeries(
            m_platformCalls, call, subject,
            [&]() -> auto & {
                return m_platformCallFamily.Add(
                        {{"call", std::string(call)}, {"subject", std::string(subject)}});
            })
            .Increment();
}

void PrometheusMetrics::recordEndpointUpdate(Duration age)
{
    m_endpointUpdateAge.Observe(toSeconds(age));
}

void PrometheusMetrics::recordConfiguration(std::string_view source, Duration behindFor)
{
    findOrAddSeries(
            m_configurationDelays, source, {},
            [&]() -> auto & {
                return m_configurationDelayFamily.Add({{"source", std::string(source)}},
                                                      latencyBucketBounds());
            })
            .Observe(toSeconds(behindFor));
}

void PrometheusMetrics::recordRolloutPhase(std::string_view service, std::string_view phase)
{
    findOrAddSeries(
            m_rolloutPhases, service, phase,
            [&]() -> auto & {
                return m_rolloutPhaseFamily.Add(
                        {{"service", std::string(service)}, {"phase", std::string(phase)}});
            })
            .Increment();
}

void PrometheusMetrics::recordPredictionError(std::string_view service, std::string_view route,
                                              PredictedPoint point, double ratio)
{
    const bool isFirst = point == PredictedPoint::FirstEvent;
    findOrAddSeries(
            isFirst ? m_firstEventErrors : m_endErrors, service, route,
            [&]() -> auto & {
                return m_predictionErrorFamily.Add({{"service", std::string(service)},
                                                    {routeLabel, std::string(route)},
                                                    {"point", isFirst ? "first-event" : "end"}},
                                                   ratioBucketBounds());
            })
            .Observe(ratio);
}

void PrometheusMetrics::recordLoopDelay(Duration delay)
{
    m_loopDelay.Observe(toSeconds(delay));
}

void PrometheusMetrics::setGauge(const std::string &name, const std::string &help, double value)
{
    prometheus::Gauge *&gauge = m_gauges[name];
    if (gauge == nullptr)
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({});
    gauge->Set(value);
}

std::string PrometheusMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace monsoonsail
