#include "servers/costs/engine_speeds.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

constexpr Duration updateInterval = std::chrono::milliseconds(200);
/// Time between two log lines on the same engine.
constexpr Duration reportInterval = std::chrono::seconds(30);
/// A larger deviation from what is typical has another cause than the engine's speed.
constexpr double maxDeviation = 1.4;
/// Requests of others that are not known here make a run look slower, never faster. So slower
/// observations move the estimate less. With equal steps, engines under load were taken for slow
/// ones, and requests oscillated between engines.
constexpr double slowerStep = 0.3;
constexpr double maxSlowerDeviation = 0.7;
/// Weight of the typical speed in what is expected of an engine.
constexpr double typicalWeight = 0.5;
/// Exponent of the factor by which an engine's prompts are expected to take longer. Load figures of
/// other instances are up to a second old: with the whole factor, all instances sent to the same
/// fast engines, and more first events were late than without learning.
constexpr double placementExponent = 0.5;
/// Weight of a new observation in the moving average of what is typical of a service.
constexpr double newTypicalWeight = 0.05;
/// Weight of a single observation for the short-term slowness.
constexpr double shortTermWeight = 0.7;
/// Weight of the assumption that a service is as fast as the reference.
constexpr double referenceWeight = 0.5;
/// Reports of peers that send digests at longer intervals are too old to show a short slowdown.
constexpr Duration maxShortTermInterval = std::chrono::milliseconds(700);
/// Evidence in one report counts no more than this.
constexpr double maxReportedWeight = 5;

SpeedEvidence lowerQuantile(double expected, double deviation, double weight)
{
    if (deviation > 0)
        return {.logRatio = expected + slowerStep * std::min(deviation, maxSlowerDeviation),
                .weight = weight};
    return {.logRatio = expected + std::max(deviation, -maxDeviation), .weight = weight};
}

void follow(double &average, double logRatio, double weight)
{
    average += newTypicalWeight * std::min(1.0, weight)
            * std::clamp(logRatio - average, -maxSlowerDeviation, maxSlowerDeviation);
}

double expectedLogRatio(const SpeedEvidence &known, double typical)
{
    return (typicalWeight * typical + known.weight * known.logRatio)
            / (typicalWeight + known.weight);
}

} // namespace

double EngineSpeeds::Typical::value() const
{
    return logRatio / (weight + referenceWeight);
}

void EngineSpeeds::Typical::add(const SpeedEvidence &known)
{
    // An engine counts once, however many requests it gets.
    const double share = known.weight / (known.weight + 1);
    logRatio += share * known.logRatio;
    weight += share;
}

EngineSpeeds::Speed EngineSpeeds::speed(EndpointHash engine, std::string_view name,
                                        ServiceHash service, Instant now)
{
    Engine &known = m_engines[engine];
    if (known.name.empty()) {
        known.name = name;
        known.service = service;
    }
    const Service &typical = m_services[service];
    Speed speed;
    speed.shortTermFactor = known.slowness.factor(now);
    speed.decodeFactor = known.decodingFactor * speed.shortTermFactor;
    speed.msPerPromptToken = std::exp(typical.readingLogRatio) / referenceTokensPerMs
            * std::pow(known.readingFactor, placementExponent) * speed.shortTermFactor;
    speed.msPerOutputToken =
            std::exp(typical.decodingLogRatio) * referenceMsPerOutputToken * speed.decodeFactor;
    return speed;
}

void EngineSpeeds::recordReading(EndpointHash engine, double tokens, double tookMs, double weight,
                                 Instant now)
{
    const auto entry = m_engines.find(engine);
    if (entry == m_engines.end() || tokens <= 0 || tookMs <= 0 || weight <= 0)
        return;
    Engine &known = entry->second;
    const double expected =
            expectedLogRatio(known.reading.current(now), m_services[known.service].reading.value());
    const double logRatio = std::log(tookMs * referenceTokensPerMs / tokens);
    const double deviation = logRatio - expected;
    follow(m_services[known.service].readingLogRatio, logRatio - std::log(known.readingFactor),
           weight);
    known.slowness.add({.logRatio = std::clamp(deviation, -maxDeviation, maxDeviation),
                        .weight = shortTermWeight * weight},
                       now);
    known.reading.add(lowerQuantile(expected, deviation, weight), now);
    queue(engine, known);
}

void EngineSpeeds::recordDecoding(EndpointHash engine, double tokens, double tookMs, double weight,
                                  Instant now)
{
    const auto entry = m_engines.find(engine);
    if (entry == m_engines.end() || tokens <= 0 || tookMs <= 0 || weight <= 0)
        return;
    Engine &known = entry->second;
    const double expected = expectedLogRatio(known.decoding.current(now),
                                             m_services[known.service].decoding.value());
    const double logRatio = std::log(tookMs / tokens / referenceMsPerOutputToken);
    const double deviation = logRatio - expected;
    follow(m_services[known.service].decodingLogRatio, logRatio - std::log(known.decodingFactor),
           weight);
    known.decoding.add(lowerQuantile(expected, deviation, weight), now);
    queue(engine, known);
}

void EngineSpeeds::recordOverdue(EndpointHash engine, double ratio, Instant now)
{
    const auto entry = m_engines.find(engine);
    if (entry != m_engines.end())
        entry->second.slowness.raise(std::min(std::log(ratio), maxDeviation), now);
}

std::vector<EngineSpeeds::Change> EngineSpeeds::update(Instant now)
{
    if (m_updatedAt + updateInterval > now && m_updatedAt != Instant::min())
        return {};
    m_updatedAt = now;
    for (auto &[hash, service] : m_services)
        service.reading = service.decoding = {};
    for (const auto &[hash, engine] : m_engines) {
        Service &service = m_services[engine.service];
        service.reading.add(engine.reading.current(now));
        service.decoding.add(engine.decoding.current(now));
    }
    std::vector<Change> changes;
    for (auto &[hash, engine] : m_engines) {
        const Service &service = m_services[engine.service];
        const SpeedEvidence reading = engine.reading.current(now);
        engine.readingFactor = speedFactor(reading, service.reading.value(), engine.readingFactor);
        engine.decodingFactor = speedFactor(engine.decoding.current(now), service.decoding.value(),
                                            engine.decodingFactor);
        const bool isTypical = engine.readingFactor == 1;
        const bool isRecent =
                engine.reportedAt != Instant::min() && engine.reportedAt + reportInterval > now;
        if (isTypical == engine.isReportedTypical || isRecent)
            continue;
        engine.isReportedTypical = isTypical;
        engine.reportedAt = now;
        changes.push_back({.engine = engine.name,
                           .readingFactor = engine.readingFactor,
                           .decodingFactor = engine.decodingFactor,
                           .weight = reading.weight});
    }
    return changes;
}

void EngineSpeeds::queue(EndpointHash hash, Engine &engine)
{
    if (engine.isQueued)
        return;
    engine.isQueued = true;
    m_unsent.push_back(hash);
}

// The speed of an engine is only a time that some instance has measured. Load that is reported has
// no influence on it.
void EngineSpeeds::applyPeerDigest(const Peer &peer, Instant now)
{
    for (const Digest::EndpointSpeed &report : peer.digest.endpointSpeeds) {
        const auto entry = m_engines.find(report.endpoint);
        if (entry == m_engines.end())
            continue;
        Engine &engine = entry->second;
        const Service &service = m_services[engine.service];
        const auto bounded = [](const SpeedEvidence &evidence, double typical) {
            return SpeedEvidence{
                    .logRatio = typical
                            + std::clamp(evidence.logRatio - typical, -maxDeviation, maxDeviation),
                    .weight = std::min(evidence.weight, maxReportedWeight)};
        };
        if (report.readingWeight > 0) {
            const double typical = service.reading.value();
            const SpeedEvidence reading = bounded(
                    {.logRatio = report.readingLogRatio, .weight = report.readingWeight}, typical);
            if (peer.digest.interval <= maxShortTermInterval)
                engine.slowness.add(
                        {.logRatio = reading.logRatio - typical - std::log(engine.readingFactor),
                         .weight = reading.weight},
                        now);
            engine.reading.addReported(reading, now);
        }
        if (report.decodingWeight > 0)
            engine.decoding.addReported(
                    bounded({.logRatio = report.decodingLogRatio, .weight = report.decodingWeight},
                            service.decoding.value()),
                    now);
    }
}

std::vector<Digest::EndpointSpeed> EngineSpeeds::takeUnsent(std::size_t maxCount)
{
    const std::size_t count = std::min(maxCount, m_unsent.size());
    std::vector<Digest::EndpointSpeed> speeds;
    for (std::size_t index = 0; index < count; ++index) {
        const auto entry = m_engines.find(m_unsent[index]);
        if (entry == m_engines.end())
            continue;
        Engine &engine = entry->second;
        engine.isQueued = false;
        const SpeedEvidence reading = engine.reading.takeUnsent();
        const SpeedEvidence decoding = engine.decoding.takeUnsent();
        speeds.push_back({.endpoint = entry->first,
                          .readingLogRatio = reading.logRatio,
                          .readingWeight = reading.weight,
                          .decodingLogRatio = decoding.logRatio,
                          .decodingWeight = decoding.weight});
    }
    m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(count));
    return speeds;
}

} // namespace monsoonsail
