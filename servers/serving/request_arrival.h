#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// A whole request as it arrived from a caller. The body stays with the traffic thread.
struct RequestArrival
{
    RequestNumber number = 0;
    std::string callerId; ///< The caller's own id of this attempt.
    std::string method;
    std::string host; ///< Without a port.
    std::string path; ///< Without the query.
    std::string apiKey;
    std::string model;
    std::optional<Instant> callerDeadline;     ///< The caller leaves at this instant.
    std::optional<std::uint32_t> promptTokens; ///< Set together with maxOutputTokens.
    std::uint32_t maxOutputTokens = 0;
    std::uint32_t expectedOutputTokens = 0; ///< The caller's estimate; 0 without one.
    std::vector<PromptPart> promptParts;    ///< From the front of the prompt.
    std::optional<EventId> resumeAfter;     ///< The caller already has the events up to this one.
    Instant arrivedAt;                      ///< When its head was complete.
};

} // namespace monsoonsail
