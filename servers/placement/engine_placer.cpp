#include "servers/placement/engine_placer.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace monsoonsail {

namespace {

/// Prompt reading speed that is assumed until it has been measured; typical of current engines.
constexpr double initialTokensPerMs = 60;
/// Weight of the newest measurement in the moving average of the speed.
constexpr double newSpeedWeight = 0.1;
/// With shorter prompts, the fixed time would dominate the measurement.
constexpr std::uint32_t minMeasuredTokens = 3000;
/// Cost of reading 1,000 tokens again that another engine has cached, and of copying them, as the
/// increase of the time to the first token that is accepted to avoid it. The platform's price of
/// reading is seven times higher than that of copying.
constexpr double rereadCostMsPer1000Tokens = 80;
constexpr double copyCostMsPer1000Tokens = 12;
/// Cost of a new connection, as the increase of the time to the first token that is accepted for a
/// kept connection. Endpoints keep idle connections for a few seconds.
constexpr double newConnectionCostMs = 20;
constexpr Duration keptConnectionTime = std::chrono::seconds(4);
/// An engine that reads prompts continuously only produces an event every few chunks, so all of its
/// streams pause for too long. If reading takes more than this fraction of the pause goal, each
/// running stream adds to the cost.
constexpr double maxReadPauseFraction = 0.6;
constexpr double pausedStreamCostFactor = 0.15;
/// Fraction of the time left until the first byte goal that may be used; a later first token costs
/// more for each ms.
constexpr double plannedGoalFraction = 0.7;
constexpr double latenessCostFactor = 4;
/// High enough to choose a suspect engine only if all engines are suspect.
constexpr double suspectCostMs = 100'000;
/// Shorter prefixes are not worth a copy.
constexpr std::uint32_t minCopiedTokens = 256;
/// Limit on the random cost that spreads requests over engines of equal cost.
constexpr double maxTieBreakMs = 4;
constexpr Duration expiryInterval = std::chrono::seconds(5);
/// Part of the batch slots that must be taken for the remaining time of runs to be reported.
constexpr double minReportedFullness = 0.75;

std::uint32_t tokensOf(std::span<const PromptPart> parts)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : parts)
        tokens += part.tokens;
    return tokens;
}

/// Returns the first and second choice of engine for a prefix by rendezvous hashing. All entry
/// instances that know the same engines choose the same ones.
std::pair<const Endpoint *, const Endpoint *>
preferredEngines(PrefixHash prefix, std::span<const Endpoint *const> candidates)
{
    const Endpoint *first = nullptr;
    const Endpoint *second = nullptr;
    std::uint64_t firstScore = 0;
    std::uint64_t secondScore = 0;
    for (const Endpoint *engine : candidates) {
        const std::uint64_t score = stableHash(engine->id.view(), prefix);
        if (first == nullptr || score > firstScore) {
            second = std::exchange(first, engine);
            secondScore = std::exchange(firstScore, score);
        } else if (second == nullptr || score > secondScore) {
            second = engine;
            secondScore = score;
        }
    }
    return {first, second};
}

} // namespace

EnginePlacer::EnginePlacer(const EndpointHealthTracker &endpointHealth, WorkMeter &workMeter,
                           std::uint64_t seed, std::unique_ptr<EngineCosts> costs)
    : m_endpointHealth(endpointHealth)
    , m_workMeter(workMeter)
    , m_random(seed)
    , m_promptTokensPerMs(initialTokensPerMs)
    , m_costs(std::move(costs))
{ }

std::optional<Placement> EnginePlacer::place(const PlacementRequest &request,
                                             std::span<const Endpoint *const> candidates,
                                             Instant now)
{
    if (candidates.empty())
        return std::nullopt;
    m_peerLoads.expire(now);
    if (m_costs)
        m_costs->update(now);
    const std::vector<PrefixHash> prefixes = sharedPrefixes(request.parts);
    const Endpoint *preferred = nullptr;
    const Endpoint *second = nullptr;
    if (!prefixes.empty())
        std::tie(preferred, second) = preferredEngines(prefixes.back(), candidates);
    const ServiceHash serviceHash = request.service->name;
    Candidate best;
    for (const Endpoint *engine : candidates) {
        const Candidate candidate =
                evaluate(request, *engine, prefixes, engine == preferred, serviceHash, now);
        if (best.engine == nullptr || candidate.cost < best.cost)
            best = candidate;
    }
    Placement placement{.endpoint = best.engine->id,
                        .uncachedTokens = best.uncachedTokens,
                        .expectedFirstByteAt = now + fromMs(best.firstTokenMs)};
    // If the chosen engine may lack the prefix, the prefix is copied from the engine that should
    // have it: the preferred engine or, if that is the chosen one, the second choice, which was the
    // preferred engine before the chosen one was added.
    const Endpoint *source = best.engine == preferred ? second : preferred;
    const bool isCached =
            m_promptCaches.cachedPrefixCount(best.engine->id, prefixes, now) == prefixes.size();
    const std::uint32_t sharedTokens =
            prefixes.empty() ? 0 : tokensOf(request.parts.first(prefixes.size()));
    // Software of another version may keep its memory in another form.
    const bool isCompatible =
            source != nullptr && source->listing.software == best.engine->listing.software;
    if (isCompatible && !isCached && sharedTokens >= minCopiedTokens
        && request.service->engine->canMoveRuns && !m_endpointHealth.isSuspect(source->id, now)) {
        placement.cache = {.kind = CacheSource::Kind::Copied, .address = source->listing.address};
        placement.copiedTokens = std::min(best.missingTokens, best.uncachedTokens);
    }
    return placement;
}

EnginePlacer::Candidate EnginePlacer::evaluate(const PlacementRequest &request,
                                               const Endpoint &engine,
                                               std::span<const PrefixHash> prefixes,
                                               bool isPreferred, ServiceHash serviceHash,
                                               Instant now)
{
    const Load own = ownLoad(engine.id);
    const EndpointHash hash = engine.id;
    const PeerLoads::Load peers = m_peerLoads.loadOf(hash);
    const std::size_t cachedPrefixes = m_promptCaches.cachedPrefixCount(engine.id, prefixes, now);
    const std::uint32_t sharedTokens = tokensOf(request.parts.first(prefixes.size()));
    const std::uint32_t cachedTokens =
            isPreferred ? sharedTokens : tokensOf(request.parts.first(cachedPrefixes));
    Candidate candidate{.engine = &engine,
                        .uncachedTokens = request.promptTokens
                                - std::min(request.promptTokens, cachedTokens)};
    const bool isCopied = request.service->engine->canMoveRuns;
    const std::uint32_t missingTokens = sharedTokens - cachedTokens;
    candidate.missingTokens = missingTokens;
    const double newTokens =
            static_cast<double>(candidate.uncachedTokens) - (isCopied ? missingTokens : 0);
    const auto running = static_cast<double>(own.running + peers.running);
    const unsigned batchSlots = request.service->engine->batchSlots;
    const EngineCosts::Prediction prediction = m_costs
            ? m_costs->predict({.engine = hash,
                                .engineName = engine.id.view(),
                                .service = serviceHash,
                                .newTokens = newTokens,
                                .running = running,
                                .batchSlots = batchSlots,
                                .reported = peers.work},
                               now)
            : predictAlike(own, peers, newTokens, batchSlots);
    candidate.firstTokenMs = prediction.firstTokenMs;
    candidate.cost = candidate.firstTokenMs
            + missingTokens * (isCopied ? copyCostMsPer1000Tokens : rereadCostMsPer1000Tokens)
                    / 1000;
    const double plannedMs =
            plannedGoalFraction * std::max(0.0, toMs(request.firstByteGoalAt - now));
    candidate.cost += latenessCostFactor * std::max(0.0, candidate.firstTokenMs - plannedMs);
    const double readMs = prediction.readMs;
    if (request.pauseGoal > Duration::zero()) {
        const double excessMs = readMs - maxReadPauseFraction * toMs(request.pauseGoal);
        candidate.cost += std::max(0.0, excessMs) * running * pausedStreamCostFactor;
    }
    if (!hasIdleConnection(engine.id, now))
        candidate.cost += newConnectionCostMs;
    if (m_endpointHealth.isSuspect(engine.id, now))
        candidate.cost += suspectCostMs;
    candidate.cost += std::max(maxTieBreakMs, prediction.spreadMs) * m_random.fraction();
    return candidate;
}

EngineCosts::Prediction EnginePlacer::predictAlike(const Load &own, const PeerLoads::Load &peers,
                                                   double newTokens, unsigned batchSlots) const
{
    const double readTokens =
            static_cast<double>(own.promptTokens + peers.promptTokens) + newTokens;
    const auto running = static_cast<double>(own.running + peers.running);
    const double queuedRequests = std::max(0.0, running + 1 - batchSlots);
    return {.readMs = readTokens / m_promptTokensPerMs,
            .firstTokenMs = fixedFirstTokenMs + readTokens / m_promptTokensPerMs
                    + running * runningRequestMs + queuedRequests * queuedRequestMs};
}

void EnginePlacer::recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                                      const Placement &placement, Instant now)
{
    const EndpointId &engine = placement.endpoint;
    Load &load = m_loads[engine];
    load.batchSlots = request.service->engine->batchSlots;
    if (m_costs)
        beginRun(attempt, request, placement, load, now);
    m_runs[attempt] = {.engine = engine,
                       .service = request.service->name,
                       .uncachedTokens = placement.uncachedTokens,
                       .tokensPerEvent = request.service->engine->tokensPerEvent,
                       .placedAt = now,
                       .backlogTokens = static_cast<double>(
                               load.promptTokens + m_peerLoads.loadOf(engine).promptTokens)};
    if (Connections &connections = m_connections[engine]; connections.idle > 0)
        --connections.idle;
    ++load.running;
    load.promptTokens += placement.uncachedTokens;
    m_workMeter.recordPromptTokens(request.service->name, placement.uncachedTokens);
    m_promptCaches.recordPrompt(engine, sharedPrefixes(request.parts), now);
    if (now >= m_expiredAt + expiryInterval) {
        m_expiredAt = now;
        m_promptCaches.expire(now);
    }
}

void EnginePlacer::beginRun(AttemptNumber attempt, const PlacementRequest &request,
                            const Placement &placement, const Load &own, Instant now)
{
    const PeerLoads::Load peers = m_peerLoads.loadOf(placement.endpoint);
    const Service &service = *request.service;
    const std::uint32_t readTokens = placement.uncachedTokens - placement.copiedTokens;
    m_costs->beginRun(attempt,
                      {.engine = placement.endpoint,
                       .engineName = placement.endpoint.view(),
                       .service = service.name,
                       .newTokens = static_cast<double>(readTokens),
                       .running = static_cast<double>(own.running + peers.running),
                       .batchSlots = service.engine->batchSlots,
                       .reported = peers.work},
                      {.service = service.name.view(),
                       .route = request.route,
                       .account = request.account,
                       .hintedTokens = request.hintedTokens,
                       .maxOutputTokens = request.maxOutputTokens,
                       .tokensPerEvent = service.engine->tokensPerEvent,
                       .uncachedTokens = readTokens,
                       .batchSlots = service.engine->batchSlots},
                      now);
}

void EnginePlacer::recordProgress(AttemptNumber attempt, std::uint32_t events, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    Run &run = entry->second;
    Load &load = m_loads[run.engine];
    if (m_costs)
        m_costs->recordEvents(attempt, events, now);
    if (run.uncachedTokens > 0) {
        updateReadSpeed(run, now);
        load.promptTokens -= std::exchange(run.uncachedTokens, 0);
    }
    m_workMeter.recordOutputTokens(run.service, events * run.tokensPerEvent);
}

void EnginePlacer::updateReadSpeed(const Run &run, Instant now)
{
    const double tookMs = toMs(now - run.placedAt) - fixedFirstTokenMs;
    if (run.uncachedTokens < minMeasuredTokens || run.backlogTokens > 0 || tookMs <= 0)
        return;
    m_promptTokensPerMs += newSpeedWeight * (run.uncachedTokens / tookMs - m_promptTokensPerMs);
}

bool EnginePlacer::hasIdleConnection(const EndpointId &engine, Instant now) const
{
    const auto entry = m_connections.find(engine);
    return entry != m_connections.end() && entry->second.idle > 0
            && entry->second.lastUsed + keptConnectionTime > now;
}

void EnginePlacer::recordAnswer(AttemptNumber attempt, Instant now)
{
    if (m_costs)
        m_costs->endRun(attempt, true, now);
}

void EnginePlacer::recordAttemptEnd(AttemptNumber attempt, Instant now)
{
    if (m_costs)
        m_costs->endRun(attempt, false, now);
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    const Run &run = entry->second;
    Connections &connections = m_connections[run.engine];
    if (connections.lastUsed + keptConnectionTime < now)
        connections.idle = 0;
    ++connections.idle;
    connections.lastUsed = now;
    Load &load = m_loads[run.engine];
    --load.running;
    load.promptTokens -= run.uncachedTokens;
    if (load.running == 0)
        m_loads.erase(run.engine);
    m_runs.erase(entry);
}

void EnginePlacer::removeEndpoint(const EndpointId &endpoint)
{
    m_promptCaches.removeEngine(endpoint);
    m_connections.erase(endpoint);
    if (m_costs)
        m_costs->removeEngine(endpoint);
}

void EnginePlacer::applyPeerDigest(const Peer &peer, Instant now)
{
    m_peerLoads.applyPeerDigest(peer);
    if (m_costs)
        m_costs->applyPeerDigest(peer, now);
}

double EnginePlacer::runningRequests(const EndpointId &endpoint) const
{
    return static_cast<double>(ownLoad(endpoint).running + m_peerLoads.loadOf(endpoint).running);
}

std::vector<Digest::EndpointLoad> EnginePlacer::ownLoads(Instant now) const
{
    std::vector<Digest::EndpointLoad> loads;
    for (const auto &[engine, load] : m_loads) {
        loads.push_back({.endpoint = engine,
                         .running = load.running,
                         .promptTokens = load.promptTokens,
                         .isSuspect = m_endpointHealth.isSuspectLocally(engine, now),
                         .remainingMs = reportedRemainingMs(engine, load)});
    }
    return loads;
}

// The remaining time only matters when requests have to wait for a batch slot.
std::uint32_t EnginePlacer::reportedRemainingMs(const EndpointId &engine, const Load &load) const
{
    if (!m_costs || runningRequests(engine) < minReportedFullness * load.batchSlots)
        return 0;
    return static_cast<std::uint32_t>(m_costs->ownRemainingMs(engine));
}

std::vector<Digest::EndpointSpeed> EnginePlacer::takeUnsentSpeeds(std::size_t maxCount)
{
    return m_costs ? m_costs->takeUnsentSpeeds(maxCount) : std::vector<Digest::EndpointSpeed>();
}

EnginePlacer::Load EnginePlacer::ownLoad(const EndpointId &engine) const
{
    const auto entry = m_loads.find(engine);
    return entry == m_loads.end() ? Load() : entry->second;
}

} // namespace monsoonsail
