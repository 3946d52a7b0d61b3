#pragma once

#include "core/instant.h"
#include "servers/admission/decaying_sum.h"

#include <array>
#include <cstddef>

namespace monsoonsail {

/// Tells whether the engines of a service have more to do than they can do in time.
///
/// Load: queues that grow within a second, seen with figures of that age. The lateness of a request
/// is the time until its first event as a fraction of the time until its goal.
class ServicePressure
{
public:
    static constexpr std::size_t urgencyCount = 10;

    void recordPrediction(unsigned urgency, double lateness, Instant now);
    /// Records the lateness with which a first event has arrived, and that with which it had been
    /// predicted.
    void recordFirstEvent(unsigned urgency, double lateness, double predicted, Instant now);
    /// Records that an engine declined a request since its queue is full.
    void recordDecline(Instant now) { m_declinedAt = now; }

    /// Returns the smoothed predicted lateness of recent requests that are at least as urgent.
    double lateness(unsigned urgency, Instant now) const;
    /// Returns the smoothed lateness of recent first events of this urgency.
    double observedLateness(unsigned urgency, Instant now) const;
    /// Whether this instance has observed a queue itself.
    bool isQueueObserved(Instant now) const;
    /// Returns which part of the predicted times has been observed, 1 if they are right or too
    /// short. 0 if nothing has been observed for a while.
    double observedPart(Instant now) const;
    /// Whether places are short. Stays true until the queues are gone.
    bool isShort(Instant now) const;
    /// Updates isShort() for a request with this prediction.
    void update(bool isQueued, Instant now);

private:
    struct Average
    {
        double value = 0;
        Instant updatedAt;
    };

    std::array<Average, urgencyCount> m_predicted{};
    std::array<Average, urgencyCount> m_observed{};
    Average m_observedPart;
    Instant m_declinedAt;
    bool m_isShort = false;
};

} // namespace monsoonsail
