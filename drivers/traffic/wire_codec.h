#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "drivers/http/message_head.h"
#include "servers/serving/attempt_start.h"
#include "servers/serving/endpoint_check.h"
#include "servers/serving/refusal.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/run_move.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Information from the header of an endpoint's response.
struct ResponseTraits
{
    std::optional<std::string> callerId; ///< Identifies the request that it responds to, if set.
    bool wasNotRun = false;              ///< The endpoint did not run the request.
    bool isMisdirected = false; ///< The endpoint is not on the instance that the request names.
    bool isLeaving = false;     ///< The endpoint is shutting down and accepts no new requests.
    /// Requests a second that the endpoint takes from all instances together, if it limits them.
    std::optional<double> requestsPerSecond;
    bool hasInvalidLimit = false; ///< The header has such a limit, but no usable one.
    /// Time for which the endpoint, which declined, accepts no further requests from this instance.
    std::optional<Duration> retryAfter;
    /// How long the connection may stay idle.
    std::optional<std::chrono::seconds> keepAliveTimeout;
};

/// Translates the HTTP messages of callers and endpoints from and to the types of the product.
class WireCodec
{
public:
    virtual ~WireCodec() = default;

    /// Fills in `arrival` except for its number. `arrival.arrivedAt` must be set.
    virtual ErrorKind parseRequest(const RequestHead &head, RequestArrival &arrival) const = 0;
    /// Appends the head of a caller's request as it is sent to the endpoint of `attempt`.
    virtual void writeForwardedHead(const RequestHead &head, const AttemptStart &attempt,
                                    std::size_t bodyBytes, Instant now,
                                    std::string &output) const = 0;
    virtual ResponseTraits parseResponse(const ResponseHead &head) const = 0;
    /// Appends a complete request that asks an engine to move a run.
    virtual void writeMoveRequest(const std::string &callerId, const RunMove &move,
                                  std::string &output) const = 0;
    /// Sets the result of a move in `end` from the engine's response.
    virtual void parseMoveResponse(int status, std::string_view body, RunMoveEnd &end) const = 0;
    /// Appends a complete request to which an endpoint responds at once, however busy it is.
    virtual void writeStatusCheck(const EndpointCheck &check, std::string &output) const = 0;
    /// Returns the start of the endpoint's incarnation, in ms since 1970, from the body of its
    /// response to a status check, if it names one.
    virtual std::optional<std::int64_t> parseStartTime(std::string_view body) const = 0;
    /// Appends the header lines that each error response to this request carries.
    virtual void writeErrorResponseFields(const RequestHead &head, std::string &output) const = 0;
};

} // namespace monsoonsail
