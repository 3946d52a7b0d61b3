#pragma once

#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <map>
#include <vector>

namespace monsoonsail {

/// A prompt part that was in use when endpoints ended, and on which none has answered since.
struct CrashSuspect
{
    std::uint32_t position = 0; ///< Index in the prompt; the first parts are shared by most.
    std::map<EndpointHash, Instant> crashes;

    Instant lastCrashAt() const;
};

using CrashSuspects = std::map<PartHash, CrashSuspect>;

/// The end of an endpoint.
struct EndpointEnd
{
    Instant at;
    /// Parts that may have caused it. A single part without a further end is not among them.
    std::vector<PartHash> suspects;
};

using EndpointEnds = std::map<EndpointHash, EndpointEnd>;

EndpointEnds endsOf(const CrashSuspects &suspects);

} // namespace monsoonsail
