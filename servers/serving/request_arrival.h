#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// A request as received from a caller, without its body, which stays in the traffic thread.
struct RequestArrival
{
    RequestNumber number = 0;
    std::string callerId; ///< Id that the caller gave to this request, which may be a retry.
    std::string method;
    std::string host; ///< Without a port.
    std::string path; ///< Without the query.
    std::string apiKey;
    std::string model;
    std::optional<Instant> callerDeadline;     ///< The caller stops waiting at this instant.
    std::optional<std::uint32_t> promptTokens; ///< Set together with maxOutputTokens.
    std::uint32_t maxOutputTokens = 0;
    std::uint32_t expectedOutputTokens = 0; ///< The caller's estimate; 0 without one.
    std::vector<PromptPart> promptParts;    ///< In order, from the beginning of the prompt.
    std::optional<EventId> resumeAfter;     ///< Last event that the caller already has.
    /// The caller's id of the request that brought its first event, if it takes a stream up.
    std::string resumedRequest;
    Instant arrivedAt; ///< When its head was complete.
};

} // namespace monsoonsail
