#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/site/request_kind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonsail {

/// A service's part of the requests of a route.
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
    bool isPublic = false;      ///< Whether requests need no API key.
    bool isResumable = false;   ///< Whether a stream may go on at another endpoint.
    bool sharesPrompts = false; ///< Whether its requests name the parts of their prompts.
    std::vector<ServiceShare> split;
    unsigned maxAttempts = 1; ///< Endpoints on which one request may run.
    unsigned priority = 0;    ///< 0 is the highest.
    Duration timeout{};       ///< From the arrival to the final answer.
    Duration responseGoal{};  ///< From the arrival to the first byte that counts.
    Duration pauseGoal{};     ///< Between two events; zero if it doesn't matter.
};

} // namespace monsoonsail
