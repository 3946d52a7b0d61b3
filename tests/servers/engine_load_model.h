#pragma once

#include "core/random_source.h"
#include "servers/placement/engine_placer.h"
#include "tests/servers/recording_metrics.h"
#include "tests/servers/silent_log.h"

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace monsoonsail {

/// One kind of streams of the modelled load.
struct StreamKind
{
    std::string route;
    double perEngineSecond = 0; ///< Requests for each engine and second.
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0;
    std::uint32_t events = 0;
    Duration firstEventGoal{};
    Duration pauseGoal{};
};

struct EngineLoadSettings
{
    unsigned engines = 42;
    unsigned instances = 71;
    double seconds = 20;
    double loadFactor = 1;
    std::vector<double> times{0.7, 0.7, 1.7}; ///< Relative times of the engines, repeated.
    bool hasSlowMoments = true;               ///< 2.5 times slower in 15 % of intervals of 600 ms.
    bool learnsCosts = false;
    std::uint64_t seed = 1;
    /// Called once for each modelled second, before its requests.
    std::function<void(unsigned second)> atSecond;
};

struct EngineLoadResult
{
    unsigned requests = 0;
    unsigned firstInTime = 0;
    unsigned allInTime = 0;          ///< Also without a pause that was too long.
    std::uint64_t placements = 0;    ///< Hash of the engines chosen, in order.
    std::vector<double> firstMs;     ///< Sorted.
    std::vector<double> errorRatios; ///< Actual to predicted first event, the larger to the
                                     ///< smaller one; sorted.

    double firstShare() const { return static_cast<double>(firstInTime) / requests; }
    double share() const { return static_cast<double>(allInTime) / requests; }
    static double quantile(const std::vector<double> &sorted, double fraction);
};

/// Plays the streams of customer B (docs/hard-load.md) against modelled engines, with several
/// placers that exchange digests. Engines work in steps: each reads a chunk of the oldest prompt
/// and decodes a token of every run in the batch.
class EngineLoadModel
{
public:
    explicit EngineLoadModel(EngineLoadSettings settings);

    EngineLoadResult run();
    void setTime(std::size_t engine, double time) { m_engines.at(engine).time = time; }
    EnginePlacer &placer(std::size_t instance) { return *m_instances.at(instance)->placer; }
    /// Adds a load to all digests of an instance, as if it had placed it.
    void setFalseLoad(std::size_t instance, std::vector<Digest::EndpointLoad> loads);

private:
    struct Run
    {
        std::size_t instance = 0;
        const StreamKind *kind = nullptr;
        Instant arrivedAt;
        Instant predictedAt;
        double unreadTokens = 0;
        std::uint32_t leftTokens = 0;
        std::uint32_t decoded = 0;
        Instant lastEventAt;
        Duration longestPause{};
        Duration first{};
    };
    struct Engine
    {
        Endpoint endpoint;
        double time = 1;
        std::deque<AttemptNumber> batch;   ///< In order of arrival.
        std::deque<AttemptNumber> waiting; ///< For a batch slot.
        std::set<std::uint64_t> prefixes;
        bool isBusy = false;
        AttemptNumber reading = 0; ///< Run whose prompt is read in the present step.
        double chunk = 0;
    };
    struct Instance
    {
        EndpointHealthTracker health;
        WorkMeter work{FleetPolicy()};
        RecordingMetrics metrics;
        SilentLog log;
        std::unique_ptr<EnginePlacer> placer;
        std::vector<Digest::EndpointLoad> falseLoads;
        std::uint64_t digests = 0;
    };

    void schedule(Instant at, std::function<void()> action);
    void arrive(const StreamKind &kind);
    void sendDigest(std::size_t instance);
    void beginStep(std::size_t engine);
    void endStep(std::size_t engine);
    void decode(std::size_t engine, AttemptNumber attempt);
    void finish(AttemptNumber attempt);
    double slowness(std::size_t engine) const;
    double exponential() { return -std::log(1 - m_random.fraction()); }
    std::uint32_t spread(std::uint32_t mean);

    struct Action
    {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Action &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    const EngineLoadSettings m_settings;
    const std::vector<StreamKind> m_kinds;
    const Service m_service;
    RandomSource m_random;
    const Instant m_startedAt = instantFromMicroseconds(1'000'000'000);
    Instant m_now = m_startedAt;
    std::vector<Engine> m_engines;
    std::vector<const Endpoint *> m_candidates;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::map<AttemptNumber, Run> m_runs;
    AttemptNumber m_lastAttempt = 0;
    std::uint64_t m_actions = 0;
    std::priority_queue<Action, std::vector<Action>, std::greater<>> m_queue;
    EngineLoadResult m_result;
};

} // namespace monsoonsail
