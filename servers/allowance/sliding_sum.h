#pragma once

#include "core/instant.h"

#include <cstddef>
#include <vector>

namespace monsoonsail {

/// Sum of amounts over the last span of a fixed length.
class SlidingSum
{
public:
    explicit SlidingSum(Duration span)
        : m_span(span)
    { }

    void setSpan(Duration span) { m_span = span; }
    void clear();
    void add(double amount, Instant at);
    /// Adds an amount that is spread evenly over the time from `begin` to `end`.
    void addEvenly(double amount, Instant begin, Instant end);
    /// Subtracts the amounts of another sum of the same span, each at its own time.
    void subtract(const SlidingSum &other);
    /// Drops amounts that are older than the span.
    void advance(Instant now);
    double sum() const { return m_sum; }
    bool isEmpty() const { return m_slices.empty(); }
    /// Returns the amounts of the last span in bins of equal length, the newest first.
    std::vector<double> binnedAmounts(std::size_t binCount, Instant now) const;
    /// Returns when the sum falls to `target` if nothing is added.
    Instant timeOfFallTo(double target, Instant now) const;
    /// Returns the highest amount per second that can be added steadily for this time without the
    /// sum exceeding `limit`.
    double maxSteadyRate(double limit, Duration horizon, Instant now) const;

private:
    struct Slice
    {
        Instant begin;
        double amount = 0;
    };

    Duration m_span;
    std::vector<Slice> m_slices; ///< The oldest first; a few dozen at most.
    double m_sum = 0;
};

} // namespace monsoonsail
