#include "servers/admission/service_pressure.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Time constants of the averages.
constexpr double predictionSeconds = 0.3;
constexpr double observationSeconds = 1;
/// An average that has not been updated for longer says nothing.
constexpr Duration maxAge = std::chrono::seconds(2);
/// Engines that declined a request have a full queue for about this long.
constexpr Duration declineTime = std::chrono::milliseconds(500);
constexpr double shortLateness = 0.6;
constexpr double sufficientLateness = 0.15;
/// Fraction of their goal that first events take if there is a queue.
constexpr double queuedLateness = 0.5;

template <typename Average>
void update(Average &average, double value, double seconds, Instant now)
{
    const double passed = toSeconds(now - average.updatedAt);
    // A single request must not decide alone where there are few.
    constexpr double minWeight = 0.1;
    const double weight = now > average.updatedAt + maxAge
            ? 1
            : std::max(minWeight, 1 - std::exp(-passed / seconds));
    average.value += weight * (value - average.value);
    average.updatedAt = now;
}

template <typename Average>
double valueOf(const Average &average, Instant now)
{
    return now > average.updatedAt + maxAge ? 0 : average.value;
}

} // namespace

void ServicePressure::recordPrediction(unsigned urgency, double lateness, Instant now)
{
    monsoonsail::update(m_predicted.at(std::min<std::size_t>(urgency, urgencyCount - 1)), lateness,
                        predictionSeconds, now);
}

void ServicePressure::recordFirstEvent(unsigned urgency, double lateness, double predicted,
                                       Instant now)
{
    monsoonsail::update(m_observed.at(std::min<std::size_t>(urgency, urgencyCount - 1)), lateness,
                        observationSeconds, now);
    const double part = predicted > 0 ? std::min(1.0, lateness / predicted) : 1;
    monsoonsail::update(m_observedPart, part, observationSeconds, now);
}

double ServicePressure::lateness(unsigned urgency, Instant now) const
{
    double largest = 0;
    for (std::size_t index = 0; index <= std::min<std::size_t>(urgency, urgencyCount - 1); ++index)
        largest = std::max(largest, valueOf(m_predicted.at(index), now));
    return largest;
}

double ServicePressure::observedLateness(unsigned urgency, Instant now) const
{
    return valueOf(m_observed.at(std::min<std::size_t>(urgency, urgencyCount - 1)), now);
}

bool ServicePressure::isQueueObserved(Instant now) const
{
    // Engines serve urgent requests first, so those of one urgency may wait alone.
    return m_declinedAt + declineTime > now
            || std::ranges::any_of(m_observed, [now](const Average &average) {
                   return valueOf(average, now) >= queuedLateness;
               });
}

double ServicePressure::observedPart(Instant now) const
{
    return valueOf(m_observedPart, now);
}

bool ServicePressure::isShort(Instant now) const
{
    return m_isShort && lateness(urgencyCount - 1, now) >= sufficientLateness;
}

void ServicePressure::update(bool isQueued, Instant now)
{
    const double largest = lateness(urgencyCount - 1, now);
    if (largest < sufficientLateness)
        m_isShort = false;
    else if (largest >= shortLateness && (isQueued || isQueueObserved(now)))
        m_isShort = true;
}

} // namespace monsoonsail
