#pragma once

#include "core/identifiers.h"
#include "servers/serving/attempt_start.h"
#include "servers/serving/refusal.h"
#include "servers/serving/run_move.h"
#include "servers/site/connection_limits.h"

namespace monsoonsail {

/// The connections to callers and endpoints. Each request gets exactly one of refuse(),
/// deliverAnswer(), abortAnswer() and finishRequest() in the end.
class TrafficPort
{
public:
    virtual ~TrafficPort() = default;

    virtual void startAttempt(const AttemptStart &attempt) = 0;
    /// Ends an attempt without an AttemptEnd; its connection is closed.
    virtual void cancelAttempt(RequestNumber request, AttemptNumber attempt) = 0;

    /// Asks for the memory of a running attempt to be moved. Its stream then ends as interrupted.
    virtual void moveRun(const RunMove &move) = 0;

    virtual void refuse(const Refusal &refusal) = 0;
    /// Passes on the whole answer of an attempt that ended as Answered.
    virtual void deliverAnswer(RequestNumber request, AttemptNumber attempt) = 0;
    /// Closes the caller's connection in the middle of a stream, so that it looks incomplete.
    virtual void abortAnswer(RequestNumber request) = 0;
    /// Drops what is left of a request whose stream was passed on whole or whose caller is gone.
    virtual void finishRequest(RequestNumber request) = 0;

    /// Closes the kept connections to an endpoint.
    virtual void closeConnections(const EndpointId &endpoint) = 0;
    virtual void applyLimits(const ConnectionLimits &limits) = 0;
    /// From now on callers are told to use other connections.
    virtual void beginStop() = 0;
};

} // namespace monsoonsail
