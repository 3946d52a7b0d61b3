#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <string>

namespace monsoonsail {

/// Asks an engine to stop a run and to copy its memory to another engine.
struct RunMove
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0; ///< The attempt that runs.
    EndpointId source;
    std::string sourceAddress; ///< "IP:port"
    std::string targetAddress; ///< "IP:port"
    Instant deadline;
};

enum class RunMoveResult {
    Moved,    ///< The run has stopped and its memory is at the target.
    NotFound, ///< The engine has no such run, or not yet.
    Stopped,  ///< The run has stopped, but its memory is only at the source.
    Failed,   ///< No usable answer.
};

/// How a move ended.
struct RunMoveEnd
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    RunMoveResult result = RunMoveResult::Failed;
    std::string handle; ///< Names the memory, if it was moved or stopped.
    std::string reason; ///< Cause of a failure, for the log.
};

} // namespace monsoonsail
