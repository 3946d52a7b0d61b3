#pragma once

#include "core/identifiers.h"
#include "servers/serving/attempt_start.h"
#include "servers/serving/endpoint_check.h"
#include "servers/serving/refusal.h"
#include "servers/serving/run_move.h"
#include "servers/site/connection_limits.h"

namespace monsoonsail {

/// Connections to callers and endpoints. Each request ends with exactly one call of refuse(),
/// deliverAnswer(), abortAnswer() or finishRequest().
class TrafficPort
{
public:
    virtual ~TrafficPort() = default;

    virtual void startAttempt(const AttemptStart &attempt) = 0;
    /// Ends an attempt and closes its connection. There is no AttemptEnd for it.
    virtual void cancelAttempt(RequestNumber request, AttemptNumber attempt) = 0;

    /// Requests that the KV cache of a running attempt is moved to another engine. From then on,
    /// streams of the request from this endpoint that end with their connection end as
    /// ClosedAfterStopOrder.
    virtual void moveRun(const RunMove &move) = 0;
    /// Ends the caller's answer as complete, after an attempt that ended as ClosedAfterStopOrder
    /// and was whole. Followed by finishRequest().
    virtual void endStream(RequestNumber request) = 0;

    /// Sends a status check to an endpoint. It ends with one EndpointCheckEnd, or two
    /// if the answer is late.
    virtual void checkEndpoint(const EndpointCheck &check) = 0;

    virtual void refuse(const Refusal &refusal) = 0;
    /// Sends the whole answer of an attempt that ended as Answered to the caller.
    virtual void deliverAnswer(RequestNumber request, AttemptNumber attempt) = 0;
    /// Closes the caller's connection during a stream, so that the caller sees that it is
    /// incomplete.
    virtual void abortAnswer(RequestNumber request) = 0;
    /// Drops the state of a request whose stream was relayed completely or whose caller has
    /// disconnected.
    virtual void finishRequest(RequestNumber request) = 0;

    /// Closes the idle connections that are kept to an endpoint.
    virtual void closeConnections(const EndpointId &endpoint) = 0;
    virtual void applyLimits(const ConnectionLimits &limits) = 0;
    /// Makes all further answers ask callers to close their connections.
    virtual void beginStop() = 0;
    /// Refuses all requests that the listener has not been told of, or whose end it has not
    /// decided, accepts no further connection, and closes each one when its bytes are sent. Ends
    /// with onCallersClosed().
    virtual void closeCallers() = 0;
};

} // namespace monsoonsail
