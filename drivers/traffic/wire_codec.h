#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "drivers/http/message_head.h"
#include "servers/serving/attempt_start.h"
#include "servers/serving/refusal.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/run_move.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// What an endpoint's answer says of itself in its header.
struct ResponseTraits
{
    std::optional<std::string> callerId; ///< The request that it answers, if it names one.
    bool wasNotRun = false;              ///< The endpoint did not run the request.
    bool isMisdirected = false;          ///< The endpoint is not the one that was named.
    bool isLeaving = false;              ///< The endpoint is about to end and takes no new work.
    /// How long the endpoint wants nothing from this instance, if it says so as it declines.
    std::optional<Duration> retryAfter;
    std::optional<std::chrono::seconds>
            keepAliveTimeout; ///< How long the connection may stay idle.
};

/// Translates between HTTP as callers and endpoints speak it and the types of the product.
class WireCodec
{
public:
    virtual ~WireCodec() = default;

    /// Fills in everything but the number. `arrival.arrivedAt` is set before.
    virtual ErrorKind parseRequest(const RequestHead &head, RequestArrival &arrival) const = 0;
    /// Appends the head with which a request goes to an endpoint.
    virtual void writeForwardedHead(const RequestHead &head, const AttemptStart &attempt,
                                    std::size_t bodyBytes, Instant now,
                                    std::string &output) const = 0;
    virtual ResponseTraits parseResponse(const ResponseHead &head) const = 0;
    /// Appends a whole request that asks an engine to move a run.
    virtual void writeMoveRequest(const std::string &callerId, const RunMove &move,
                                  std::string &output) const = 0;
    /// Reads an engine's answer to such a request into `end`.
    virtual void parseMoveResponse(int status, std::string_view body, RunMoveEnd &end) const = 0;
    /// Appends header lines that belong to every answer of our own to this request.
    virtual void writeErrorResponseFields(const RequestHead &head, std::string &output) const = 0;
};

} // namespace monsoonsail
