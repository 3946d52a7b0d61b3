#include "servers/costs/prediction_errors.h"

namespace monsoonsail {

void PredictionErrors::recordFirstEvent(std::string_view service, std::string_view route,
                                        double predictedMs, double actualMs)
{
    if (predictedMs > 0)
        m_metrics.recordPredictionError(service, route, PredictedPoint::FirstEvent,
                                        actualMs / predictedMs);
}

void PredictionErrors::recordEnd(std::string_view service, std::string_view route,
                                 double predictedMs, double actualMs)
{
    if (predictedMs > 0)
        m_metrics.recordPredictionError(service, route, PredictedPoint::End,
                                        actualMs / predictedMs);
}

} // namespace monsoonsail
