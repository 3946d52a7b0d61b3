#pragma once

#include "core/instant.h"

namespace monsoonsail {

/// Measured log ratios of actual to reference time, combined.
struct SpeedEvidence
{
    double logRatio = 0; ///< Weighted mean.
    double weight = 0;   ///< 1 for one observation that is as good as any.
};

/// How slow one endpoint is relative to a reference: an average over seconds, whose weight decays,
/// and the evidence that has not been sent to the other entry instances yet.
class SpeedEstimate
{
public:
    /// Adds an observation of this instance.
    void add(const SpeedEvidence &evidence, Instant now);
    /// Adds evidence that another instance has gathered.
    void addReported(const SpeedEvidence &evidence, Instant now);
    /// Returns the mean and the weight that is left. Both are 0 if there is no recent observation.
    SpeedEvidence current(Instant now) const;
    bool hasUnsent() const { return m_unsent.weight > 0; }
    /// Returns the own evidence since the last call.
    SpeedEvidence takeUnsent();

private:
    SpeedEvidence m_known;
    SpeedEvidence m_unsent;
    Instant m_observedAt = Instant::min();
};

/// Returns the factor by which an endpoint is slower than what is typical of its service: 1 unless
/// the difference of the logarithms is large and certain. `earlierFactor` is the factor until now;
/// if it is not 1, less is needed to keep one.
double speedFactor(const SpeedEvidence &known, double typicalLogRatio, double earlierFactor);

/// Deviation of an endpoint's speed from its average during a fraction of a second.
class ShortTermSlowness
{
public:
    /// Records how the logarithm of an actual time differed from that of the expected one.
    void add(const SpeedEvidence &deviation, Instant now);
    /// Records that something already takes longer by at least this much.
    void raise(double logRatio, Instant now);
    /// Returns the factor by which the endpoint is slower at the moment; 1 if it is not.
    double factor(Instant now) const;

private:
    double value(Instant now) const;

    double m_value = 0;
    Instant m_updatedAt = Instant::min();
};

} // namespace monsoonsail
