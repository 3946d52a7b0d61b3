#include "tests/servers/engine_load_model.h"

#include "core/hash.h"

#include <algorithm>
#include <numbers>
#include <utility>

namespace monsoonsail {

namespace {

constexpr double stepMs = 3.03;
constexpr double tokensPerMs = 92.1;
constexpr double chunkTokens = 1024;
constexpr unsigned batchSlots = 12;
constexpr unsigned tokensPerEvent = 10;
constexpr std::uint64_t sessions = 300;
constexpr double slowMomentShare = 0.15;
constexpr double slowMomentFactor = 2.5;
constexpr std::int64_t slowMomentMs = 600;
constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr double sizeDeviation = 0.6; ///< Of the logarithm.
constexpr double warmUpSeconds = 5;   ///< Not counted.

std::vector<StreamKind> customerB()
{
    using std::chrono::milliseconds;
    constexpr double engines = 140;
    return {{"long", 200 / engines, 11'992, 5382, 38, milliseconds(1000), milliseconds(500)},
            {"short", 111 / engines, 826, 0, 29, milliseconds(600), milliseconds(500)},
            {"small", 396 / engines, 2368, 0, 2, milliseconds(600), milliseconds(500)}};
}

} // namespace

double EngineLoadResult::quantile(const std::vector<double> &sorted, double fraction)
{
    return sorted.at(static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1)));
}

EngineLoadModel::EngineLoadModel(EngineLoadSettings settings)
    : m_settings(std::move(settings))
    , m_kinds(customerB())
    , m_service{.name = ServiceId("model"),
                .engine = EngineFeatures{.batchSlots = batchSlots,
                                         .canMoveRuns = true,
                                         .tokensPerEvent = tokensPerEvent}}
    , m_random(m_settings.seed)
{
    for (unsigned index = 0; index < m_settings.engines; ++index) {
        Engine engine;
        engine.endpoint.listing = {.instance = "e" + std::to_string(index),
                                   .service = m_service.name,
                                   .address = "10.0.0." + std::to_string(index) + ":80",
                                   .slots = batchSlots};
        engine.endpoint.id = EndpointId(engine.endpoint.listing.instance);
        engine.time = m_settings.times[index % m_settings.times.size()];
        m_engines.push_back(engine);
    }
    for (const Engine &engine : m_engines)
        m_candidates.push_back(&engine.endpoint);
    for (unsigned index = 0; index < m_settings.instances; ++index) {
        auto instance = std::make_unique<Instance>();
        instance->placer = std::make_unique<EnginePlacer>(
                instance->health, instance->work, m_settings.seed * 1000 + index,
                m_settings.learnsCosts
                        ? std::make_unique<EngineCosts>(instance->metrics, instance->log)
                        : nullptr);
        m_instances.push_back(std::move(instance));
    }
}

void EngineLoadModel::schedule(Instant at, std::function<void()> action)
{
    m_queue.push({.at = at, .order = ++m_actions, .action = std::move(action)});
}

void EngineLoadModel::setFalseLoad(std::size_t instance, std::vector<Digest::EndpointLoad> loads)
{
    m_instances.at(instance)->falseLoads = std::move(loads);
}

EngineLoadResult EngineLoadModel::run()
{
    for (const StreamKind &kind : m_kinds)
        arrive(kind);
    for (std::size_t index = 0; index < m_instances.size(); ++index)
        schedule(m_now + fromMs(250 * m_random.fraction()), [this, index] { sendDigest(index); });
    for (unsigned second = 0; m_settings.atSecond && second < m_settings.seconds; ++second)
        schedule(m_now + std::chrono::seconds(second),
                 [this, second] { m_settings.atSecond(second); });
    const Instant end = m_startedAt + fromSeconds(m_settings.seconds);
    while (!m_queue.empty() && m_queue.top().at < end) {
        const Action next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.action();
    }
    // Runs without an event by now count as late.
    for (const auto &[attempt, run] : m_runs) {
        if (run.first == Duration::zero() && run.arrivedAt + run.kind->firstEventGoal < end)
            ++m_result.requests;
    }
    std::ranges::sort(m_result.firstMs);
    std::ranges::sort(m_result.errorRatios);
    return m_result;
}

std::uint32_t EngineLoadModel::spread(std::uint32_t mean)
{
    const double normal =
            std::sqrt(2 * exponential()) * std::cos(2 * std::numbers::pi * m_random.fraction());
    const double factor = std::exp(sizeDeviation * normal - sizeDeviation * sizeDeviation / 2);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(mean * factor));
}

void EngineLoadModel::arrive(const StreamKind &kind)
{
    const double perSecond = kind.perEngineSecond * m_settings.engines * m_settings.loadFactor;
    schedule(m_now + fromSeconds(exponential() / perSecond), [this, &kind] { arrive(kind); });
    if (m_now == m_startedAt)
        return;
    const std::size_t index = m_random.integerBelow(m_instances.size());
    Instance &instance = *m_instances[index];
    const AttemptNumber attempt = ++m_lastAttempt;
    const std::uint32_t ownTokens = spread(kind.promptTokens - kind.sharedTokens);
    const std::uint64_t session = 1 + m_random.integerBelow(sessions);
    std::vector<PromptPart> parts;
    if (kind.sharedTokens > 0)
        parts.push_back({.id = session, .tokens = kind.sharedTokens});
    parts.push_back({.id = sessions + attempt, .tokens = ownTokens});
    const std::uint32_t output = std::max(tokensPerEvent, spread(kind.events * tokensPerEvent));
    const PlacementRequest request{.service = &m_service,
                                   .promptTokens = kind.sharedTokens + ownTokens,
                                   .outputTokens = output,
                                   .parts = parts,
                                   .firstByteGoalAt = m_now + kind.firstEventGoal,
                                   .pauseGoal = kind.pauseGoal,
                                   .route = kind.route,
                                   .account = "club",
                                   .hintedTokens = spread(output),
                                   .maxOutputTokens = kind.events * tokensPerEvent * 4};
    const Placement placement = *instance.placer->place(request, m_candidates, m_now);
    instance.placer->recordAttemptStart(attempt, request, placement, m_now);
    const auto engine = static_cast<std::size_t>(
            std::ranges::find(m_candidates, placement.endpoint,
                              [](const Endpoint *endpoint) { return endpoint->id; })
            - m_candidates.begin());
    m_result.placements = stableHash(placement.endpoint.view(), m_result.placements);
    const bool isCached = kind.sharedTokens > 0
            && (!m_engines[engine].prefixes.insert(session).second
                || placement.cache.kind == CacheSource::Kind::Copied);
    m_runs[attempt] = {.instance = index,
                       .kind = &kind,
                       .arrivedAt = m_now,
                       .predictedAt = placement.expectedFirstByteAt,
                       .unreadTokens = static_cast<double>(
                               isCached ? ownTokens : kind.sharedTokens + ownTokens),
                       .leftTokens = output};
    schedule(m_now + networkDelay, [this, engine, attempt] {
        m_engines[engine].waiting.push_back(attempt);
        beginStep(engine);
    });
}

void EngineLoadModel::sendDigest(std::size_t index)
{
    Instance &sender = *m_instances[index];
    const Duration interval =
            std::max<Duration>(Digest::baseInterval, fromSeconds(m_instances.size() / 160.0));
    schedule(m_now + interval, [this, index] { sendDigest(index); });
    Peer peer;
    peer.digest = {.instance = std::to_string(index),
                   .sequence = ++sender.digests,
                   .interval = interval,
                   .endpointLoads = sender.placer->ownLoads(m_now)};
    for (const Digest::EndpointLoad &load : sender.falseLoads)
        peer.digest.endpointLoads.push_back(load);
    peer.digest.endpointSpeeds =
            sender.placer->takeUnsentSpeeds(2 + peer.digest.endpointLoads.size() / 10);
    schedule(m_now + networkDelay, [this, index, peer]() mutable {
        peer.receivedAt = m_now;
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            if (other != index)
                m_instances[other]->placer->applyPeerDigest(peer, m_now);
        }
    });
}

double EngineLoadModel::slowness(std::size_t engine) const
{
    const Engine &state = m_engines[engine];
    if (!m_settings.hasSlowMoments)
        return state.time;
    const std::int64_t interval = toMicroseconds(m_now) / 1000 / slowMomentMs;
    const std::uint64_t hash =
            stableHash(state.endpoint.id.view(), static_cast<std::uint64_t>(interval));
    const bool isSlow = static_cast<double>(hash % 1000) < 1000 * slowMomentShare;
    return state.time * (isSlow ? slowMomentFactor : 1);
}

void EngineLoadModel::beginStep(std::size_t index)
{
    Engine &engine = m_engines[index];
    if (engine.isBusy)
        return;
    while (engine.batch.size() < batchSlots && !engine.waiting.empty()) {
        engine.batch.push_back(engine.waiting.front());
        engine.waiting.pop_front();
    }
    if (engine.batch.empty())
        return;
    const auto reading = std::ranges::find_if(engine.batch, [this](AttemptNumber attempt) {
        return m_runs.at(attempt).unreadTokens > 0;
    });
    engine.reading = reading == engine.batch.end() ? 0 : *reading;
    engine.chunk =
            engine.reading == 0 ? 0 : std::min(chunkTokens, m_runs.at(*reading).unreadTokens);
    engine.isBusy = true;
    schedule(m_now + fromMs(slowness(index) * (stepMs + engine.chunk / tokensPerMs)),
             [this, index] { endStep(index); });
}

void EngineLoadModel::endStep(std::size_t index)
{
    Engine &engine = m_engines[index];
    engine.isBusy = false;
    for (const AttemptNumber attempt : std::deque<AttemptNumber>(engine.batch)) {
        Run &run = m_runs.at(attempt);
        if (attempt == engine.reading)
            run.unreadTokens -= engine.chunk;
        if (run.unreadTokens <= 0)
            decode(index, attempt);
    }
    beginStep(index);
}

void EngineLoadModel::decode(std::size_t index, AttemptNumber attempt)
{
    Run &run = m_runs.at(attempt);
    ++run.decoded;
    --run.leftTokens;
    const bool isFirst = run.decoded == 1;
    if (!isFirst && run.decoded % tokensPerEvent != 0 && run.leftTokens > 0)
        return;
    if (isFirst) {
        run.first = m_now - run.arrivedAt;
        const double ratio = toMs(run.first) / std::max(1.0, toMs(run.predictedAt - run.arrivedAt));
        if (run.arrivedAt > m_startedAt + fromSeconds(warmUpSeconds))
            m_result.errorRatios.push_back(std::max(ratio, 1 / ratio));
    } else {
        run.longestPause = std::max(run.longestPause, m_now - run.lastEventAt);
    }
    run.lastEventAt = m_now;
    EnginePlacer &placer = *m_instances[run.instance]->placer;
    placer.recordProgress(attempt, 1, m_now);
    if (run.leftTokens > 0)
        return;
    std::erase(m_engines[index].batch, attempt);
    placer.recordAnswer(attempt, m_now);
    placer.recordAttemptEnd(attempt, m_now);
    finish(attempt);
}

void EngineLoadModel::finish(AttemptNumber attempt)
{
    const Run run = m_runs.at(attempt);
    m_runs.erase(attempt);
    if (run.arrivedAt < m_startedAt + fromSeconds(warmUpSeconds))
        return;
    ++m_result.requests;
    m_result.firstMs.push_back(toMs(run.first));
    const bool isFirstInTime = run.first <= run.kind->firstEventGoal;
    m_result.firstInTime += isFirstInTime ? 1 : 0;
    m_result.allInTime += isFirstInTime && run.longestPause <= run.kind->pauseGoal ? 1 : 0;
}

} // namespace monsoonsail
