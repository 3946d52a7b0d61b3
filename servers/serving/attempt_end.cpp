#include "servers/serving/attempt_end.h"

namespace monsoonsail {

std::string_view attemptResultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
        return "not-sent";
    case AttemptResult::Declined:
        return "declined";
    case AttemptResult::Misdirected:
        return "misdirected";
    case AttemptResult::Answered:
        return "answered";
    case AttemptResult::Streamed:
        return "streamed";
    case AttemptResult::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

} // namespace monsoonsail
