#pragma once

#include "core/instant.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// How an outgoing HTTP call ended.
struct HttpResult
{
    enum class Kind {
        Answered,    ///< A complete answer, whatever its status.
        NotSent,     ///< No byte of the request left this process.
        Interrupted, ///< Something was sent and no complete answer came.
    };
    Kind kind = Kind::Interrupted;
    int status = 0; ///< HTTP status if answered.
    std::string contentType;
    std::string body;  ///< Empty if the call has an onData.
    std::string error; ///< Cause unless answered.
};

/// One outgoing HTTP call.
struct HttpCall
{
    std::string method;
    std::string url;
    std::vector<std::string> headers; ///< "Name: value".
    std::string body;
    /// Opens a new connection for this call and closes it afterwards. Without this, libcurl may
    /// send a request a second time when a pooled connection turns out to be dead.
    bool freshConnection = false;
    Instant sendDeadline;                        ///< Not sent after this instant.
    Instant deadline;                            ///< Ended after this instant.
    Duration progressTimeout = Duration::zero(); ///< Longest silence; zero for no limit.
    std::size_t maxResponseBytes = 8UL * 1024 * 1024;
    /// Receives the body of a 200 answer in pieces; returning false ends the call.
    std::function<bool(std::string_view)> onData;
    /// Called exactly once.
    std::function<void(HttpResult)> onDone;
};

} // namespace monsoonsail
