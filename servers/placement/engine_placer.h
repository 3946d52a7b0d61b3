#pragma once

#include "core/random_source.h"
#include "servers/costs/engine_costs.h"
#include "servers/endpoints/endpoint_health_tracker.h"
#include "servers/fleet/work_meter.h"
#include "servers/placement/peer_loads.h"
#include "servers/placement/placer.h"
#include "servers/placement/prompt_cache_map.h"

#include <map>
#include <memory>
#include <vector>

namespace monsoonsail {

/// Places requests on the model engine with the earliest expected first token, except that prompts
/// that begin with the same parts are placed on the same engine while it meets the response goal.
class EnginePlacer : public Placer
{
public:
    /// `endpointHealth` and `workMeter` must outlive the placer. Without `costs`, all engines are
    /// expected to be equally fast.
    EnginePlacer(const EndpointHealthTracker &endpointHealth, WorkMeter &workMeter,
                 std::uint64_t seed, std::unique_ptr<EngineCosts> costs = nullptr);

    std::optional<Placement> place(const PlacementRequest &request,
                                   std::span<const Endpoint *const> candidates,
                                   Instant now) override;
    void recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                            const Placement &placement, Instant now) override;
    void recordProgress(AttemptNumber attempt, std::uint32_t events, Instant now) override;
    void recordAnswer(AttemptNumber attempt, Instant now) override;
    void recordAttemptEnd(AttemptNumber attempt, Instant now) override;
    void removeEndpoint(const EndpointId &endpoint) override;
    void applyPeerDigest(const Peer &peer, Instant now) override;
    double runningRequests(const EndpointId &endpoint) const override;
    std::vector<Digest::EndpointLoad> ownLoads(Instant now) const override;
    std::vector<Digest::EndpointSpeed> takeUnsentSpeeds(std::size_t maxCount) override;

private:
    struct Run
    {
        EndpointId engine;
        ServiceId service;
        std::uint32_t uncachedTokens = 0; ///< 0 once it has sent events.
        std::uint32_t tokensPerEvent = 1;
        Instant placedAt;
        double backlogTokens = 0; ///< Tokens of earlier requests to be read first.
    };
    /// Connections to an engine that are probably kept open after earlier requests.
    struct Connections
    {
        unsigned idle = 0;
        Instant lastUsed;
    };
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t promptTokens = 0;
        unsigned batchSlots = 1;
    };
    struct Candidate
    {
        const Endpoint *engine = nullptr;
        std::uint32_t uncachedTokens = 0;
        std::uint32_t missingTokens = 0; ///< Shared ones that it does not have cached.
        double firstTokenMs = 0;         ///< Expected time until the first token.
        double cost = 0;
    };

    Candidate evaluate(const PlacementRequest &request, const Endpoint &engine,
                       std::span<const PrefixHash> prefixes, bool isPreferred,
                       ServiceHash serviceHash, Instant now);
    /// Returns a prediction that takes all engines for equally fast.
    EngineCosts::Prediction predictAlike(const Load &own, const PeerLoads::Load &peers,
                                         double newTokens, unsigned batchSlots) const;
    void beginRun(AttemptNumber attempt, const PlacementRequest &request,
                  const Placement &placement, const Load &own, Instant now);
    std::uint32_t reportedRemainingMs(const EndpointId &engine, const Load &load) const;
    bool hasIdleConnection(const EndpointId &engine, Instant now) const;
    Load ownLoad(const EndpointId &engine) const;
    void updateReadSpeed(const Run &run, Instant now);

    const EndpointHealthTracker &m_endpointHealth;
    WorkMeter &m_workMeter;
    RandomSource m_random;
    PeerLoads m_peerLoads;
    PromptCacheMap m_promptCaches;
    std::map<AttemptNumber, Run> m_runs;
    std::map<EndpointId, Load> m_loads;
    std::map<EndpointId, Connections> m_connections;
    double m_promptTokensPerMs; ///< Measured speed at which engines read prompts.
    Instant m_expiredAt;
    std::unique_ptr<EngineCosts> m_costs; ///< Null if costs are not learned.
};

} // namespace monsoonsail
