#pragma once

#include <string_view>

namespace monsoonsail {

/// Whether a failed request may have run on an endpoint, as reported to the caller.
enum class Outcome {
    NotRun,  ///< No byte of the request has reached an endpoint, and none will.
    Unknown, ///< The request may have run.
};

/// Returns the name that callers receive: "not-run" or "unknown".
std::string_view outcomeName(Outcome outcome);

} // namespace monsoonsail
