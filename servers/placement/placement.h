#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint.h"
#include "servers/serving/attempt_start.h"
#include "servers/serving/prompt_part.h"
#include "servers/site/service.h"

#include <cstdint>
#include <optional>
#include <span>

namespace monsoonsail {

/// What placing needs to know of a request. It refers to data of the request.
struct PlacementRequest
{
    const Service *service = nullptr;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected.
    std::span<const PromptPart> parts;
    Instant firstByteGoalAt; ///< Its first byte counts in full until then.
    Duration pauseGoal{}; ///< Longest pause between two events that counts as good; zero for any.
};

/// The endpoint that gets a request.
struct Placement
{
    EndpointId endpoint;
    CacheSource cache;
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens that it has to read, as far as is known.
    Instant expectedFirstByteAt;      ///< When its first byte is expected.
};

} // namespace monsoonsail
