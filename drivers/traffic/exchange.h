#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "drivers/http/message_head.h"
#include "drivers/traffic/attempt.h"
#include "drivers/traffic/caller_connection.h"
#include "drivers/traffic/endpoint_connection.h"
#include "servers/serving/stream_progress.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonsail {

/// A block of a stream that is not passed on yet.
struct HeldBlock
{
    std::string text;
    std::optional<EventId> id;
    bool isEvent = false;
};

/// The connection state of a request: its caller, its attempts and the progress of its response.
struct Exchange
{
    RequestNumber number = 0;
    std::string callerId; ///< The id that the caller gave to the request.
    RequestHead head;
    std::string body;
    std::size_t countedBytes = 0;             ///< As counted in the RequestMemory.
    std::shared_ptr<CallerConnection> caller; ///< Null after a disconnect or the response.
    std::map<AttemptNumber, std::unique_ptr<Attempt>> attempts;
    /// Kept connections that have carried the request. It is not sent on them again, since an
    /// endpoint may repeat its earlier response, which has the same id as the next one.
    std::vector<std::weak_ptr<const EndpointConnection>> usedConnections;

    /// Endpoints that were told to stop a run of the request. An order may be carried out late, and
    /// stops later runs of the request as well.
    std::set<EndpointId> stoppedEndpoints;
    bool isResponseStarted = false; ///< Whether the head of a stream was sent to the caller.
    std::optional<EventId> lastEventId;
    /// Software version of the endpoint whose events the caller has; empty before the first one.
    std::optional<SoftwareVersion> software;
    /// Blocks of attempts that later ones are about to replace.
    std::map<AttemptNumber, std::vector<HeldBlock>> heldBlocks;
    StreamProgress unreportedProgress; ///< Relayed events not yet reported to the listener.
};

} // namespace monsoonsail
