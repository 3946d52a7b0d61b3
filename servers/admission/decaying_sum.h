#pragma once

#include "core/instant.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

/// Sum of amounts that decay exponentially.
class DecayingSum
{
public:
    explicit DecayingSum(double seconds)
        : m_seconds(seconds)
    { }

    void add(double amount, Instant now)
    {
        m_sum = at(now) + amount;
        m_updatedAt = std::max(m_updatedAt, now);
    }
    double at(Instant now) const
    {
        return m_sum * std::exp(-std::max(0.0, toSeconds(now - m_updatedAt)) / m_seconds);
    }
    double perSecond(Instant now) const { return at(now) / m_seconds; }

private:
    double m_seconds; ///< Time constant.
    double m_sum = 0; ///< As of `m_updatedAt`.
    Instant m_updatedAt;
};

} // namespace monsoonsail
