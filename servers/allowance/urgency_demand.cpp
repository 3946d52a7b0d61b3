#include "servers/allowance/urgency_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace monsoonsail {

namespace {
/// Time constant of the decaying demand. A shorter one takes chance for a flood.
constexpr double decaySeconds = 1;
} // namespace

std::size_t UrgencyDemand::indexOf(unsigned urgency)
{
    return std::min<std::size_t>(urgency, urgencyCount - 1);
}

void UrgencyDemand::advance(Instant now)
{
    const double seconds = toSeconds(now - m_decayedAt);
    if (seconds <= 0)
        return;
    m_decayedAt = now;
    const double kept = std::exp(-seconds / decaySeconds);
    for (double &amount : m_amounts)
        amount *= kept;
}

void UrgencyDemand::add(unsigned urgency, double amount)
{
    m_amounts.at(indexOf(urgency)) += amount;
}

double UrgencyDemand::rateOf(unsigned urgency) const
{
    return m_amounts.at(indexOf(urgency)) / decaySeconds;
}

double UrgencyDemand::rateBefore(unsigned urgency) const
{
    const auto end = m_amounts.begin() + static_cast<std::ptrdiff_t>(indexOf(urgency));
    return std::accumulate(m_amounts.begin(), end, 0.0) / decaySeconds;
}

double UrgencyDemand::totalRate() const
{
    return std::accumulate(m_amounts.begin(), m_amounts.end(), 0.0) / decaySeconds;
}

} // namespace monsoonsail
