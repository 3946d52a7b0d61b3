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
#include <string_view>

namespace monsoonsail {

/// Properties of a request that are needed to place it. Refers to data of the request.
struct PlacementRequest
{
    const Service *service = nullptr;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected output.
    std::span<const PromptPart> parts;
    Instant firstByteGoalAt; ///< Latest time of the first byte that meets the response goal.
    Duration pauseGoal{};    ///< Goal for the longest pause between two events; zero without one.
    std::string_view route;
    std::string_view account;          ///< Empty on a public route.
    std::uint32_t hintedTokens = 0;    ///< The caller's estimate of the output; 0 without one.
    std::uint32_t maxOutputTokens = 0; ///< 0 if not known.
};

/// The endpoint chosen for a request.
struct Placement
{
    EndpointId endpoint;
    CacheSource cache;
    std::uint32_t uncachedTokens = 0; ///< Estimate of the prompt tokens that it has to read.
    std::uint32_t copiedTokens = 0;   ///< Those of them that are copied from another engine.
    Instant expectedFirstByteAt;      ///< Estimate of the time of the first byte.
    AttemptNumber movedFrom = 0; ///< Attempt whose run it continues; 0 if it is a run of its own.
    bool isReserved = false; ///< Whether the request is already counted for the endpoint's limit.
};

} // namespace monsoonsail
