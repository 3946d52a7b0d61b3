#pragma once

#include "servers/ports/serving_metrics.h"

#include <string_view>

namespace monsoonsail {

/// Reports how long answers took in relation to the prediction, so that operators can tell whether
/// requests are placed on sound figures.
class PredictionErrors
{
public:
    /// `metrics` must outlive the object.
    explicit PredictionErrors(ServingMetrics &metrics)
        : m_metrics(metrics)
    { }

    void recordFirstEvent(std::string_view service, std::string_view route, double predictedMs,
                          double actualMs);
    void recordEnd(std::string_view service, std::string_view route, double predictedMs,
                   double actualMs);

private:
    ServingMetrics &m_metrics;
};

} // namespace monsoonsail
