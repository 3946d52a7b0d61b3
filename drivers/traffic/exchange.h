#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "drivers/http/message_head.h"
#include "drivers/traffic/attempt.h"
#include "drivers/traffic/caller_connection.h"
#include "servers/serving/stream_progress.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace monsoonsail {

/// One request of a caller with its attempts, from the traffic's side.
struct Exchange
{
    RequestNumber number = 0;
    std::string callerId;
    RequestHead head;
    std::string body;
    std::shared_ptr<CallerConnection> caller; ///< Null once the caller is gone.
    std::map<AttemptNumber, std::unique_ptr<Attempt>> attempts;

    bool isResponseStarted = false;   ///< Whether a stream's head has been sent to the caller.
    AttemptNumber relayedAttempt = 0; ///< The attempt whose events the caller gets.
    std::optional<EventId> lastEventId;
    StreamProgress unreportedProgress; ///< Events that the core has not been told of.
};

} // namespace monsoonsail
