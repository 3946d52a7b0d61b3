#pragma once

#include "core/instant.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// The result of an outgoing HTTP call.
struct HttpResult
{
    enum class Kind {
        Answered,    ///< A complete response with any status.
        NotSent,     ///< No byte of the request was sent.
        Interrupted, ///< Part of the request was sent, but no complete response arrived.
    };
    Kind kind = Kind::Interrupted;
    int status = 0; ///< HTTP status if answered.
    std::string contentType;
    std::string field; ///< Value of the call's responseField; empty if the response lacks it.
    std::string body;  ///< Empty if the call has an onData.
    std::string error; ///< Cause unless answered.
};

/// An outgoing HTTP call.
struct HttpCall
{
    std::string method;
    std::string url;
    std::vector<std::string> headers; ///< "Name: value".
    std::string body;
    /// Opens a new connection for this call and closes it afterwards. Otherwise, libcurl may send
    /// the request a second time if a pooled connection turns out to be dead.
    bool freshConnection = false;
    Instant sendDeadline;                        ///< The request is not sent after this instant.
    Instant deadline;                            ///< The call is ended at this instant.
    Duration progressTimeout = Duration::zero(); ///< Limit between received bytes; zero for none.
    std::size_t maxResponseBytes = 8UL * 1024 * 1024;
    std::string
            responseField; ///< Name of a header field of the response that the result hands over.
    /// Receives the body of a response with status 200 in pieces. Returning false ends the call.
    std::function<bool(std::string_view)> onData;
    /// Called once when the call has ended.
    std::function<void(HttpResult)> onDone;
};

} // namespace monsoonsail
