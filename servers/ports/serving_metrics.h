#pragma once

#include "core/error_kind.h"
#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/attempt_end.h"

#include <string_view>

namespace monsoonsail {

/// Takes the figures of each request for the metrics.
class ServingMetrics
{
public:
    virtual ~ServingMetrics() = default;

    /// A request got its whole answer. `account` is empty on a public route; `first` is the time
    /// until the first byte of the answer, `total` until its end.
    virtual void recordAnswer(std::string_view route, std::string_view account, Duration first,
                              Duration total) = 0;
    /// A stream had a pause between two events, its longest one.
    virtual void recordLongestPause(std::string_view route, Duration longest) = 0;
    /// A request got an error. `account` is empty if it is not known.
    virtual void recordRefusal(std::string_view account, ErrorKind kind) = 0;
    /// An attempt on an endpoint of the service has ended.
    virtual void recordAttempt(std::string_view service, AttemptResult result) = 0;
    /// A call to the platform was started. `subject` is the topic or duty that it is about.
    virtual void recordPlatformCall(std::string_view call, std::string_view subject) = 0;
};

} // namespace monsoonsail
