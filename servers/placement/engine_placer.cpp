#include "servers/placement/engine_placer.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace monsoonsail {

namespace {

/// Reading speed that is assumed until one has been measured; that of today's engines.
constexpr double initialTokensPerMs = 60;
/// Weight of the newest measurement.
constexpr double newSpeedWeight = 0.1;
/// Only longer reads tell the speed apart from the fixed costs.
constexpr std::uint32_t minMeasuredTokens = 3000;
/// Scheduling, the first step and the way to the engine and back, in ms.
constexpr double fixedFirstTokenMs = 12;
/// Each running request makes a step a little longer, in ms of the start.
constexpr double runningRequestMs = 1;
/// A request that finds no free slot waits for one to end; about a tenth of a stream's time.
constexpr double queuedRequestMs = 100;
/// What it costs to read 1,000 tokens again that another engine holds, and to copy them, in ms of
/// the start that are given up for it. The platform's price of reading is seven times higher.
constexpr double rereadCostMsPer1000Tokens = 80;
constexpr double copyCostMsPer1000Tokens = 12;
/// What a new connection costs, in ms of the start that are given up for a kept one; endpoints keep
/// idle connections for a few seconds.
constexpr double newConnectionCostMs = 20;
constexpr Duration keptConnectionTime = std::chrono::seconds(4);
/// An engine that reads prompts without a break makes an event only every few chunks, so that all
/// its streams pause for longer than is good. From this part of the pause goal on, each running
/// stream adds to the cost.
constexpr double maxReadPauseFraction = 0.6;
constexpr double pausedStreamCostFactor = 0.15;
/// Part of the time to the goal that is planned with; beyond it every ms counts more.
constexpr double plannedGoalFraction = 0.7;
constexpr double latenessCostFactor = 4;
/// A suspect engine is chosen only if all are.
constexpr double suspectCostMs = 100'000;
/// Prefixes below this size are not worth a copy.
constexpr std::uint32_t minCopiedTokens = 256;
/// Equal choices spread over the engines by up to this many ms.
constexpr double maxTieBreakMs = 4;
constexpr Duration expiryInterval = std::chrono::seconds(5);

std::uint32_t tokensOf(std::span<const PromptPart> parts)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : parts)
        tokens += part.tokens;
    return tokens;
}

/// Returns the two engines that a prefix belongs to by rendezvous hashing, the first one first.
/// All instances agree on them as long as they know the same engines.
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
                           std::uint64_t seed)
    : m_endpointHealth(endpointHealth)
    , m_workMeter(workMeter)
    , m_random(seed)
    , m_promptTokensPerMs(initialTokensPerMs)
{ }

std::optional<Placement> EnginePlacer::place(const PlacementRequest &request,
                                             std::span<const Endpoint *const> candidates,
                                             Instant now)
{
    if (candidates.empty())
        return std::nullopt;
    m_peerLoads.expire(now);
    const std::vector<PrefixHash> prefixes = sharedPrefixes(request.parts);
    const Endpoint *preferred = nullptr;
    const Endpoint *second = nullptr;
    if (!prefixes.empty())
        std::tie(preferred, second) = preferredEngines(prefixes.back(), candidates);
    Candidate best;
    for (const Endpoint *engine : candidates) {
        const Candidate candidate = evaluate(request, *engine, prefixes, engine == preferred, now);
        if (best.engine == nullptr || candidate.cost < best.cost)
            best = candidate;
    }
    Placement placement{.endpoint = best.engine->id,
                        .uncachedTokens = best.uncachedTokens,
                        .expectedFirstByteAt = now + fromMs(best.firstTokenMs)};
    // Where the prefix may be missing, it is copied from the engine that should hold it. After a
    // change of the engines that is the one that comes second now.
    const Endpoint *source = best.engine == preferred ? second : preferred;
    const bool isCached =
            m_promptCaches.cachedPrefixCount(best.engine->id, prefixes, now) == prefixes.size();
    const std::uint32_t shared =
            prefixes.empty() ? 0 : tokensOf(request.parts.first(prefixes.size()));
    if (source != nullptr && !isCached && shared >= minCopiedTokens
        && request.service->engine->canMoveRuns && !m_endpointHealth.isSuspect(source->id, now))
        placement.cache = {.kind = CacheSource::Kind::Copied, .address = source->listing.address};
    return placement;
}

EnginePlacer::Candidate EnginePlacer::evaluate(const PlacementRequest &request,
                                               const Endpoint &engine,
                                               std::span<const PrefixHash> prefixes,
                                               bool isPreferred, Instant now)
{
    const Load own = ownLoad(engine.id);
    const PeerLoads::Load peers = m_peerLoads.loadOf(engine.id);
    const std::size_t cachedPrefixes = m_promptCaches.cachedPrefixCount(engine.id, prefixes, now);
    const std::uint32_t shared = tokensOf(request.parts.first(prefixes.size()));
    const std::uint32_t cached =
            isPreferred ? shared : tokensOf(request.parts.first(cachedPrefixes));
    Candidate candidate{.engine = &engine,
                        .uncachedTokens =
                                request.promptTokens - std::min(request.promptTokens, cached)};
    const bool isCopied = request.service->engine->canMoveRuns;
    const std::uint32_t missing = shared - cached;
    const double readTokens = static_cast<double>(own.promptTokens + peers.promptTokens)
            + candidate.uncachedTokens - (isCopied ? missing : 0);
    const auto running = static_cast<double>(own.running + peers.running);
    const double queued = std::max(0.0, running + 1 - request.service->engine->batchSlots);
    candidate.firstTokenMs = fixedFirstTokenMs + readTokens / m_promptTokensPerMs
            + running * runningRequestMs + queued * queuedRequestMs;
    candidate.cost = candidate.firstTokenMs
            + missing * (isCopied ? copyCostMsPer1000Tokens : rereadCostMsPer1000Tokens) / 1000;
    const double plannedMs =
            plannedGoalFraction * std::max(0.0, toMs(request.firstByteGoalAt - now));
    candidate.cost += latenessCostFactor * std::max(0.0, candidate.firstTokenMs - plannedMs);
    const double readMs = readTokens / m_promptTokensPerMs;
    if (request.pauseGoal > Duration::zero()) {
        const double excessMs = readMs - maxReadPauseFraction * toMs(request.pauseGoal);
        candidate.cost += std::max(0.0, excessMs) * running * pausedStreamCostFactor;
    }
    if (!hasIdleConnection(engine.id, now))
        candidate.cost += newConnectionCostMs;
    if (m_endpointHealth.isSuspect(engine.id, now))
        candidate.cost += suspectCostMs;
    candidate.cost += maxTieBreakMs * m_random.fraction();
    return candidate;
}

void EnginePlacer::recordAttemptStart(AttemptNumber attempt, const PlacementRequest &request,
                                      const Placement &placement, Instant now)
{
    const EndpointId &engine = placement.endpoint;
    Load &load = m_loads[engine];
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

void EnginePlacer::recordProgress(AttemptNumber attempt, std::uint32_t events, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    Run &run = entry->second;
    Load &load = m_loads[run.engine];
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

void EnginePlacer::recordAttemptEnd(AttemptNumber attempt, Instant now)
{
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
}

void EnginePlacer::recordDigest(const Peer &peer, Instant /*now*/)
{
    m_peerLoads.recordDigest(peer);
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
                         .isSuspect = m_endpointHealth.isSuspectLocally(engine, now)});
    }
    return loads;
}

EnginePlacer::Load EnginePlacer::ownLoad(const EndpointId &engine) const
{
    const auto entry = m_loads.find(engine);
    return entry == m_loads.end() ? Load() : entry->second;
}

} // namespace monsoonsail
