#pragma once

#include "core/error_kind.h"
#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/stop_orders.h"

#include <string_view>

namespace monsoonsail {

/// What a prediction was made for.
enum class PredictedPoint {
    FirstEvent,
    End, ///< Of the answer.
};

/// Records measurements of requests and calls for the metrics.
class ServingMetrics
{
public:
    virtual ~ServingMetrics() = default;

    /// Records a request that got its whole answer. `account` is empty on a public route; `first`
    /// is the time until the first byte of the answer, `total` until its end.
    virtual void recordAnswer(std::string_view route, std::string_view account, Duration first,
                              Duration total) = 0;
    /// Records the longest pause between two events of a stream.
    virtual void recordLongestPause(std::string_view route, Duration longest) = 0;
    /// Records a request that got an error. `account` is empty if it is not known.
    virtual void recordRefusal(std::string_view account, ErrorKind kind) = 0;
    /// Records a request that was refused by its urgency. `reason` names the rule.
    virtual void recordAdmissionRefusal(std::string_view reason, unsigned urgency) = 0;
    /// Records the end of an attempt on an endpoint of the service.
    virtual void recordAttempt(std::string_view service, AttemptResult result) = 0;
    /// Records that a caller took up a stream of the service, or was refused. `outcome` is the
    /// ground on which its software version was known, or the reason of the refusal.
    virtual void recordTakeUp(std::string_view service, std::string_view outcome) = 0;
    /// Records a stream of the service that its endpoint closed after an order to stop it.
    virtual void recordJudgedStreamEnd(std::string_view service, StreamEndGround ground) = 0;
    /// Records an answer of the service that was given up for its length.
    virtual void recordTooLongAnswer(std::string_view service) = 0;
    /// Records a run that is sent to the target of a roll-out of the service in this phase, or to a
    /// version that has appeared without an order.
    virtual void recordRolloutRun(std::string_view service, std::string_view phase) = 0;
    /// Records the start of a call to the platform. `subject` is its topic or duty.
    virtual void recordPlatformCall(std::string_view call, std::string_view subject) = 0;
    /// Records a change of an endpoint that this instance learned of by a bulletin. `age` is the
    /// time for which the author of the bulletin had known it when it was sent.
    virtual void recordEndpointUpdate(Duration age) = 0;
    /// Records a configuration that took effect. `source` says where its text came from;
    /// `behindFor` is the time for which peers had a later one than this instance.
    virtual void recordConfiguration(std::string_view source, Duration behindFor) = 0;
    /// Records that this instance, as holder of the duties, has changed the phase of a roll-out.
    virtual void recordRolloutPhase(std::string_view service, std::string_view phase) = 0;
    /// Records the actual divided by the predicted time from the placement of a request to a point.
    virtual void recordPredictionError(std::string_view service, std::string_view route,
                                       PredictedPoint point, double ratio) = 0;
};

} // namespace monsoonsail
