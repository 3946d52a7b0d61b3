#include "servers/serving/serving_core.h"

// The part of the serving core that decides whether streams are whole whose endpoints were told to
// stop them.

namespace monsoonsail {

void ServingCore::handleMovingStreamEnd(RequestRecord &record, RunningAttempt &attempt,
                                        const AttemptEnd &end, Instant now)
{
    attempt.hasStreamEnded = true;
    if (end.result == AttemptResult::ClosedAfterStopOrder)
        attempt.closedStream = end;
    m_launcher.recordEnd(record, attempt, EndpointVerdict::Inconclusive, now);
    if (end.lastEvent)
        record.lastEvent = end.lastEvent;
    if (attempt.moveState == RunningAttempt::MoveState::Completed)
        continueMovedRun(record, end.attempt, now);
}

void ServingCore::judgeClosedStream(const RequestRecord &record, const RunningAttempt &attempt,
                                    AttemptEnd &end, Instant now)
{
    const StreamEndGround ground = record.stopOrders.judgeClose(attempt.endpoint);
    const bool isWhole = ground == StreamEndGround::NoRunStopped;
    m_context.log.write(isWhole ? LogLevel::Info : LogLevel::Warning, "stream-end-judged",
                        record.arrival.callerId,
                        {{"attempt", toLog(attempt.number)},
                         {"endpoint", attempt.endpoint.view()},
                         {"whole", isWhole},
                         {"ground", streamEndGroundName(ground)},
                         {"stop_orders", record.stopOrders.toLog(now)}});
    m_context.metrics.recordJudgedStreamEnd(record.service->name.view(), ground);
    end.result = isWhole ? AttemptResult::Streamed : AttemptResult::Interrupted;
    if (isWhole) {
        m_context.traffic.endStream(end.request);
        return;
    }
    end.reason = "an order to stop the run may have ended the stream";
    // It shows nothing about the prompt.
    end.wasDisconnected = false;
}

} // namespace monsoonsail
