#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace monsoonsail {

/// Capacity and abilities of the model engines of a service.
struct EngineFeatures
{
    unsigned batchSlots = 1;         ///< Requests that one engine runs at the same time.
    std::uint64_t cacheTokens = 0;   ///< Capacity of the KV cache of one engine.
    std::uint64_t bytesPerToken = 0; ///< Size of one token in the KV cache.
    double linkMbps = 0;             ///< Bandwidth between engines, in Mbit/s.
    bool canMoveRuns = false;        ///< Whether a run's KV cache can be copied to another engine.
    unsigned tokensPerEvent = 1;
    Duration handleLifetime{}; ///< How long an engine keeps the KV cache of a run that was moved.
};

/// Bounds on the number of engines of a service, and their prices.
struct ScalingLimits
{
    unsigned minEngines = 0; ///< In each availability zone, of both markets together.
    unsigned maxEngines = 0;
    Duration bootTime{};
    /// Price of a reclaimable engine as a fraction of the price on demand.
    double reclaimablePrice = 1;
    std::map<ZoneId, double> zonePrices;
};

/// A set of endpoints that can replace each other.
struct Service
{
    ServiceId name;
    std::string healthPath;
    /// Connections that one endpoint accepts from all callers together.
    unsigned maxConnections = 0;
    std::optional<EngineFeatures> engine;
    std::optional<ScalingLimits> scaling;
};

} // namespace monsoonsail
