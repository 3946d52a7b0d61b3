#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/site/request_kind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonsail {

/// The share of a route's requests that a service gets.
struct ServiceShare
{
    ServiceId service;
    std::uint32_t weight = 1;
};

/// How the requests for one path prefix of one host are handled.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::Unsafe;
    bool isPublic = false;    ///< Whether requests need no API key.
    bool isResumable = false; ///< Whether a stream may continue from another endpoint.
    /// Whether requests identify the parts of their prompts, for placement by prompt cache.
    bool identifiesPromptParts = false;
    std::vector<ServiceShare> split;
    unsigned maxAttempts = 1; ///< Largest number of endpoints on which a request may run.
    unsigned priority = 0;    ///< 0 is the highest.
    Duration timeout{};       ///< From the arrival to the final answer.
    Duration responseGoal{};  ///< From the arrival to the first byte of the answer's content.
    Duration pauseGoal{};     ///< Between two events; zero for no goal.
};

} // namespace monsoonsail
