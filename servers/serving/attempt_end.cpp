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
    case AttemptResult::ClosedAfterStopOrder:
        return "closed-after-stop-order";
    case AttemptResult::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

std::string_view answerFramingName(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::None:
        return "none";
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::Connection:
        return "connection";
    }
    return "unknown";
}

} // namespace monsoonsail
