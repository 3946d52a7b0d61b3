#include "servers/costs/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Half-lives of the weight of observations, and of a short-term deviation.
constexpr double weightHalfLifeSeconds = 8;
constexpr double slownessHalfLifeSeconds = 0.3;
/// An older deviation has decayed to nothing.
constexpr Duration maxSlownessAge = std::chrono::seconds(3);
/// More observations than these add no certainty, so that a change is followed within seconds
/// however many there are.
constexpr double maxWeight = 20;
/// Observations that are made within fractions of a second have the same cause, such as a transient
/// slowdown. So the weight grows no faster than this once there is some.
constexpr double maxWeightPerSecond = 6;
constexpr double minAddedWeight = 0.02;
constexpr double freeWeight = 4;
/// Older observations say nothing about the present.
constexpr Duration maxObservationAge = std::chrono::seconds(10);
/// Standard deviation of the log ratio of a single observation. It includes transient slowdowns.
constexpr double observationDeviation = 0.5;
/// An average must differ by this many standard errors, and by this factor, to count.
constexpr double requiredErrors = 2;
constexpr double minFactor = 1.15;
/// Fraction of that difference below which a factor other than 1 ends. Without it, engines that
/// lose weight for want of requests would be flooded with them from time to time.
constexpr double keptFraction = 0.5;
/// Weight of the assumption that an endpoint is typical of its service.
constexpr double typicalWeight = 2;
constexpr double maxFactor = 4;
/// Weight of a new deviation against the earlier ones.
constexpr double newDeviationWeight = 0.6;
/// Single observations scatter, so a smaller short-term deviation is ignored.
constexpr double minShortTermFactor = 1.25;

void merge(SpeedEvidence &into, const SpeedEvidence &added)
{
    if (added.weight <= 0)
        return;
    const double weight = into.weight + added.weight;
    into.logRatio += (added.logRatio - into.logRatio) * added.weight / weight;
    into.weight = std::min(weight, maxWeight);
}

} // namespace

void SpeedEstimate::add(const SpeedEvidence &evidence, Instant now)
{
    addReported(evidence, now);
    merge(m_unsent, evidence);
}

void SpeedEstimate::addReported(const SpeedEvidence &evidence, Instant now)
{
    SpeedEvidence added = evidence;
    if (m_known.weight > freeWeight) {
        const double seconds = std::max(0.0, toSeconds(now - m_observedAt));
        added.weight = std::min(added.weight, minAddedWeight + maxWeightPerSecond * seconds);
    }
    m_known = current(now);
    merge(m_known, added);
    m_observedAt = now;
}

SpeedEvidence SpeedEstimate::current(Instant now) const
{
    if (m_known.weight <= 0 || m_observedAt + maxObservationAge < now)
        return {};
    SpeedEvidence known = m_known;
    known.weight *= std::exp2(-toSeconds(now - m_observedAt) / weightHalfLifeSeconds);
    return known;
}

SpeedEvidence SpeedEstimate::takeUnsent()
{
    const SpeedEvidence unsent = m_unsent;
    m_unsent = {};
    return unsent;
}

double speedFactor(const SpeedEvidence &known, double typicalLogRatio, double earlierFactor)
{
    static const double minDifference = std::log(minFactor);
    static const double maxDifference = std::log(maxFactor);
    if (known.weight <= 0)
        return 1;
    const double difference = known.logRatio - typicalLogRatio;
    const double error = observationDeviation / std::sqrt(known.weight);
    const double required = std::max(minDifference, requiredErrors * error);
    if (std::abs(difference) < (earlierFactor == 1 ? 1 : keptFraction) * required)
        return 1;
    const double pooled = difference * known.weight / (known.weight + typicalWeight);
    return std::exp(std::clamp(pooled, -maxDifference, maxDifference));
}

void ShortTermSlowness::add(const SpeedEvidence &deviation, Instant now)
{
    const double earlier = value(now);
    const double weight = newDeviationWeight * std::min(1.0, deviation.weight);
    m_value = earlier + weight * (deviation.logRatio - earlier);
    m_updatedAt = now;
}

void ShortTermSlowness::raise(double logRatio, Instant now)
{
    if (logRatio <= value(now))
        return;
    m_value = logRatio;
    m_updatedAt = now;
}

double ShortTermSlowness::factor(Instant now) const
{
    static const double minDifference = std::log(minShortTermFactor);
    static const double maxDifference = std::log(maxFactor);
    const double difference = value(now);
    return difference < minDifference ? 1 : std::exp(std::min(difference, maxDifference));
}

double ShortTermSlowness::value(Instant now) const
{
    if (m_value == 0 || m_updatedAt + maxSlownessAge < now)
        return 0;
    return m_value * std::exp2(-toSeconds(now - m_updatedAt) / slownessHalfLifeSeconds);
}

} // namespace monsoonsail
