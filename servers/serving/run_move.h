#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <string>
#include <string_view>

namespace monsoonsail {

/// Parameters of a call that asks an engine to stop a run and copy its KV cache to another engine.
struct RunMove
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0; ///< The running attempt.
    EndpointId source;
    std::string sourceAddress; ///< "IP:port"
    std::string targetAddress; ///< "IP:port"
    Instant deadline;
};

enum class RunMoveResult {
    Moved,    ///< The run has stopped, and the target has its KV cache.
    NotFound, ///< The engine does not know the run, or has not started it yet.
    Stopped,  ///< The run has stopped, but only the source has its KV cache.
    NotSent,  ///< The order did not leave this instance.
    Failed,   ///< The engine gave no usable answer. It may stop the run later.
};

/// Returns the name of the result in the log.
std::string_view runMoveResultName(RunMoveResult result);

/// Reports the end of a move.
struct RunMoveEnd
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    RunMoveResult result = RunMoveResult::Failed;
    std::string handle; ///< Identifies the KV cache; set if moved or stopped.
    std::string reason; ///< Cause of a failure for the log.
};

} // namespace monsoonsail
