#pragma once

#include <string_view>

namespace monsoonsail {

/// What a caller may conclude about its request.
enum class Outcome {
    NotRun,  ///< No byte of the request reached or can reach an endpoint.
    Unknown, ///< The request may have run.
};

/// Returns the wire name: "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

} // namespace monsoonsail
