#pragma once

#include "core/instant.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoonsail {

/// A prompt part that is not simply sent on.
struct PartVerdict
{
    PartHash part = 0;
    std::uint32_t crashes = 0; ///< Ends of endpoints that it explains.
    Instant lastCrashAt;
    Instant heldSince;     ///< The last end when it began to be held.
    bool isProven = false; ///< Whether no other part can have caused them.
    /// Other parts that may have caused these ends, all but one at most.
    std::vector<PartHash> alternatives;
};

using PartVerdicts = std::map<PartHash, PartVerdict>;

/// Returns the hashes of the alternatives for the log, separated by commas.
std::string alternativeHashes(const PartVerdict &verdict);

} // namespace monsoonsail
