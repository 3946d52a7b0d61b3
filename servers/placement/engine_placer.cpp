#include "servers/placement/engine_placer.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace monsoonsail {

namespace {

/// Reading speed that is assumed until one has been measured; that of today's engines.
constexpr double firstTokensPerMs = 60;
/// Weight of the newest measurement.
constexpr double speedWeight = 0.1;
/// Only longer reads tell the speed apart from the fixed costs.
constexpr std::uint32_t leastMeasuredTokens = 3000;
/// Scheduling, the first step and the way to the engine and back, in ms.
constexpr double fixedStartMs = 12;
/// Each running request makes a step a little longer, in ms of the start.
constexpr double perRunningMs = 1;
/// A request that finds no free slot waits for one to end; about a tenth of a stream's time.
constexpr double perQueuedMs = 100;
/// What it costs to read 1,000 tokens again that another engine holds, and to copy them, in ms of
/// the start that are given up for it. The platform's price of reading is seven times higher.
constexpr double rereadMsPerThousand = 80;
constexpr double copyMsPerThousand = 12;
/// What a new connection costs, in ms of the start that are given up for a kept one; endpoints keep
/// idle connections for a few seconds.
constexpr double newConnectionMs = 20;
constexpr Duration keptConnection = std::chrono::seconds(4);
/// An engine that reads prompts without a break makes an event only every few chunks, so that all
/// its streams pause for longer than is good. From this part of the pause goal on, each running
/// stream adds to the cost.
constexpr double readPart = 0.6;
constexpr double perPausedStream = 0.15;
/// Part of the time to the goal that is planned with; beyond it every ms counts more.
constexpr double plannedPart = 0.7;
constexpr double latenessFactor = 4;
/// A suspect engine is chosen only if all are.
constexpr double suspectCostMs = 100'000;
/// Prefixes below this size are not worth a copy.
constexpr std::uint32_t leastCopiedTokens = 256;
/// Equal choices spread over the engines by up to this many ms.
constexpr double spreadMs = 4;
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
std::pair<const Endpoint *, const Endpoint *> homes(PrefixHash prefix,
                                                    std::span<const Endpoint *const> candidates)
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

EnginePlacer::EnginePlacer(const EndpointHealthTracker &watch, WorkMeter &work, std::uint64_t seed)
    : m_watch(watch)
    , m_work(work)
    , m_random(seed)
    , m_tokensPerMs(firstTokensPerMs)
{ }

std::optional<Placement> EnginePlacer::place(const PlacementRequest &request,
                                             std::span<const Endpoint *const> candidates,
                                             Instant now)
{
    if (candidates.empty())
        return std::nullopt;
    m_peers.expire(now);
    const std::vector<PrefixHash> prefixes = sharedPrefixes(request.parts);
    const Endpoint *home = nullptr;
    const Endpoint *second = nullptr;
    if (!prefixes.empty())
        std::tie(home, second) = homes(prefixes.back(), candidates);
    Candidate best;
    for (const Endpoint *engine : candidates) {
        const Candidate candidate = judge(request, *engine, prefixes, engine == home, now);
        if (best.engine == nullptr || candidate.cost < best.cost)
            best = candidate;
    }
    Placement placement{.endpoint = best.engine->id,
                        .uncachedTokens = best.uncachedTokens,
                        .expectedStart = now + fromMs(best.startMs)};
    // Where the prefix may be missing, it is copied from the engine that should hold it. After a
    // change of the engines that is the one that comes second now.
    const Endpoint *source = best.engine == home ? second : home;
    const bool isHeld = m_cached.held(best.engine->id, prefixes, now) == prefixes.size();
    const std::uint32_t shared =
            prefixes.empty() ? 0 : tokensOf(request.parts.first(prefixes.size()));
    if (source != nullptr && !isHeld && shared >= leastCopiedTokens
        && request.service->engine->canMoveRuns && !m_watch.isSuspect(source->id, now))
        placement.cache = {.kind = CacheSource::Kind::Copied, .address = source->listing.address};
    return placement;
}

EnginePlacer::Candidate EnginePlacer::judge(const PlacementRequest &request, const Endpoint &engine,
                                            std::span<const PrefixHash> prefixes, bool isHome,
                                            Instant now)
{
    const Load own = ownLoad(engine.id);
    const PeerLoads::Load peers = m_peers.of(engine.id);
    const std::size_t held = m_cached.held(engine.id, prefixes, now);
    const std::uint32_t shared = tokensOf(request.parts.first(prefixes.size()));
    const std::uint32_t cached = isHome ? shared : tokensOf(request.parts.first(held));
    Candidate candidate{.engine = &engine,
                        .uncachedTokens =
                                request.promptTokens - std::min(request.promptTokens, cached)};
    const bool isCopied = request.service->engine->canMoveRuns;
    const std::uint32_t missing = shared - cached;
    const double readTokens = static_cast<double>(own.promptTokens + peers.promptTokens)
            + candidate.uncachedTokens - (isCopied ? missing : 0);
    const auto running = static_cast<double>(own.running + peers.running);
    const double queued = std::max(0.0, running + 1 - request.service->engine->batchSlots);
    candidate.startMs = fixedStartMs + readTokens / m_tokensPerMs + running * perRunningMs
            + queued * perQueuedMs;
    candidate.cost = candidate.startMs
            + missing * (isCopied ? copyMsPerThousand : rereadMsPerThousand) / 1000;
    const double planned = plannedPart * std::max(0.0, toMs(request.goalAt - now));
    candidate.cost += latenessFactor * std::max(0.0, candidate.startMs - planned);
    const double readMs = readTokens / m_tokensPerMs;
    if (request.pauseGoal > Duration::zero()) {
        const double tooLong = readMs - readPart * toMs(request.pauseGoal);
        candidate.cost += std::max(0.0, tooLong) * running * perPausedStream;
    }
    if (!hasIdleConnection(engine.id, now))
        candidate.cost += newConnectionMs;
    if (m_watch.isSuspect(engine.id, now))
        candidate.cost += suspectCostMs;
    candidate.cost += spreadMs * m_random.fraction();
    return candidate;
}

void EnginePlacer::started(AttemptNumber attempt, const PlacementRequest &request,
                           const Placement &placement, Instant now)
{
    const EndpointId &engine = placement.endpoint;
    Load &load = m_loads[engine];
    m_runs[attempt] = {.engine = engine,
                       .service = request.service->name,
                       .uncachedTokens = placement.uncachedTokens,
                       .tokensPerEvent = request.service->engine->tokensPerEvent,
                       .placedAt = now,
                       .backlogTokens = static_cast<double>(load.promptTokens
                                                            + m_peers.of(engine).promptTokens)};
    if (Connections &connections = m_connections[engine]; connections.idle > 0)
        --connections.idle;
    ++load.running;
    load.promptTokens += placement.uncachedTokens;
    m_work.placed(request.service->name, placement.uncachedTokens);
    m_cached.used(engine, sharedPrefixes(request.parts), now);
    if (now >= m_expiredAt + expiryInterval) {
        m_expiredAt = now;
        m_cached.expire(now);
    }
}

void EnginePlacer::progressed(AttemptNumber attempt, std::uint32_t events, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    Run &run = entry->second;
    Load &load = m_loads[run.engine];
    if (run.uncachedTokens > 0) {
        learnSpeed(run, now);
        load.promptTokens -= std::exchange(run.uncachedTokens, 0);
    }
    m_work.produced(run.service, events * run.tokensPerEvent);
}

void EnginePlacer::learnSpeed(const Run &run, Instant now)
{
    const double tookMs = toMs(now - run.placedAt) - fixedStartMs;
    if (run.uncachedTokens < leastMeasuredTokens || run.backlogTokens > 0 || tookMs <= 0)
        return;
    m_tokensPerMs += speedWeight * (run.uncachedTokens / tookMs - m_tokensPerMs);
}

bool EnginePlacer::hasIdleConnection(const EndpointId &engine, Instant now) const
{
    const auto entry = m_connections.find(engine);
    return entry != m_connections.end() && entry->second.idle > 0
            && entry->second.lastUsed + keptConnection > now;
}

void EnginePlacer::ended(AttemptNumber attempt, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    const Run &run = entry->second;
    Connections &connections = m_connections[run.engine];
    if (connections.lastUsed + keptConnection < now)
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

void EnginePlacer::removed(const EndpointId &endpoint)
{
    m_cached.removed(endpoint);
    m_connections.erase(endpoint);
}

void EnginePlacer::peerReported(const Peer &peer, Instant /*now*/)
{
    m_peers.reported(peer);
}

double EnginePlacer::running(const EndpointId &endpoint) const
{
    return static_cast<double>(ownLoad(endpoint).running + m_peers.of(endpoint).running);
}

std::vector<Digest::EndpointLoad> EnginePlacer::loads(Instant now) const
{
    std::vector<Digest::EndpointLoad> loads;
    for (const auto &[engine, load] : m_loads) {
        loads.push_back({.endpoint = engine,
                         .running = load.running,
                         .promptTokens = load.promptTokens,
                         .isSuspect = m_watch.isSuspectLocally(engine, now)});
    }
    return loads;
}

EnginePlacer::Load EnginePlacer::ownLoad(const EndpointId &engine) const
{
    const auto entry = m_loads.find(engine);
    return entry == m_loads.end() ? Load() : entry->second;
}

} // namespace monsoonsail
