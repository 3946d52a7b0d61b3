#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// How an attempt to run a request on an endpoint ended.
enum class AttemptResult {
    NotSent,     ///< No byte was sent.
    Declined,    ///< The endpoint answered that it did not run the request.
    Misdirected, ///< Another endpoint now has the address and did not run the request.
    Answered,    ///< A complete answer was received and has not been relayed yet.
    Streamed,    ///< A complete stream was relayed to the caller.
    /// A stream ended in order with its connection, but its endpoint had been told to stop a run of
    /// the request. Its events were relayed to the caller, not its end.
    ClosedAfterStopOrder,
    Interrupted, ///< Some or all of the request was sent, but no complete answer was received.
};

/// Returns the name of the result in the log.
std::string_view attemptResultName(AttemptResult result);

/// What marks the end of an answer's body.
enum class AnswerFraming {
    None,       ///< No answer was received.
    Length,     ///< Its length is in its head, or it has no body.
    Chunks,     ///< It comes in chunks, of which the last one is marked.
    Connection, ///< It ends with its connection.
};

/// Returns the name of the framing in the log.
std::string_view answerFramingName(AnswerFraming framing);

/// Reports the end of an attempt.
struct AttemptEnd
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    AttemptResult result = AttemptResult::NotSent;
    int status = 0; ///< HTTP status, if an answer was received.
    AnswerFraming framing = AnswerFraming::None;
    std::optional<EventId> lastEvent; ///< Last event that was relayed.
    std::string reason;               ///< Cause for the log; empty if answered or streamed.
    /// Set if the endpoint declined and asked this instance to send it no requests until then.
    std::optional<Instant> closedUntil;
    /// Whether the endpoint closed or reset the connection, as opposed to a timeout or bytes that
    /// are no answer.
    bool wasDisconnected = false;
    bool wasTooLong = false; ///< Whether the answer was given up for its length.
    Instant sentAt;          ///< When the request was sent; unset if it was not.
    bool connectionReused = false;
};

} // namespace monsoonsail
