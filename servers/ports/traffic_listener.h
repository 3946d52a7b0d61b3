#pragma once

#include "core/identifiers.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/endpoint_check.h"
#include "servers/serving/endpoint_limit_report.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/run_move.h"
#include "servers/serving/stream_progress.h"

#include <span>

namespace monsoonsail {

/// Receives events on the connections to callers and endpoints.
class TrafficListener
{
public:
    virtual ~TrafficListener() = default;

    virtual void onRequestArrived(const RequestArrival &request) = 0;
    /// Called when the caller closes its connection before it has its whole answer.
    virtual void onCallerDisconnected(RequestNumber request) = 0;
    virtual void onStreamsProgressed(std::span<const StreamProgress> streams) = 0;
    virtual void onAttemptEnded(const AttemptEnd &end) = 0;
    virtual void onRunMoveEnded(const RunMoveEnd &end) = 0;
    virtual void onEndpointChecked(const EndpointCheckEnd &end) = 0;
    /// Called for each answer that names a limit, and for the next one without a limit after it.
    virtual void onEndpointLimitReported(const EndpointLimitReport &report) = 0;
    /// Called when the endpoint announces in an answer that it is about to end.
    virtual void onEndpointLeaving(const EndpointId &endpoint) = 0;
    /// Called once after TrafficPort::closeCallers(), when all connections of callers are closed.
    virtual void onCallersClosed() = 0;
};

} // namespace monsoonsail
