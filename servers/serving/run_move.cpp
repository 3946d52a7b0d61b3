#include "servers/serving/run_move.h"

namespace monsoonsail {

std::string_view runMoveResultName(RunMoveResult result)
{
    switch (result) {
    case RunMoveResult::Moved:
        return "moved";
    case RunMoveResult::NotFound:
        return "not-found";
    case RunMoveResult::Stopped:
        return "stopped";
    case RunMoveResult::NotSent:
        return "not-sent";
    case RunMoveResult::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace monsoonsail
