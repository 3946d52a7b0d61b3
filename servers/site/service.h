#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace monsoonsail {

/// What the model engines of a service can do.
struct EngineFeatures
{
    unsigned batchSlots = 1;         ///< Requests that one engine runs at once.
    std::uint64_t cacheTokens = 0;   ///< Tokens that the KV cache of one engine holds.
    std::uint64_t bytesPerToken = 0; ///< Size of one token in the KV cache.
    double linkMbps = 0;             ///< Bandwidth between engines, in Mbit/s.
    bool canMoveRuns = false;        ///< Whether a run's memory can be copied to another engine.
    unsigned tokensPerEvent = 1;
    Duration handleLifetime{}; ///< How long a moved run's memory is held.
};

/// Bounds and prices of the engines that may be ordered for a service.
struct ScalingLimits
{
    unsigned minEngines = 0; ///< Engines in each availability zone, of both markets together.
    unsigned maxEngines = 0;
    Duration bootTime{};
    double reclaimablePrice = 1; ///< Price of a reclaimable engine as a part of the full one.
    std::map<ZoneId, double> zonePrices;
};

/// Endpoints that can replace each other.
struct Service
{
    ServiceId name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< That one endpoint accepts from all callers together.
    std::optional<EngineFeatures> engine;
    std::optional<ScalingLimits> scaling;
};

} // namespace monsoonsail
