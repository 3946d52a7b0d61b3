#include "servers/retry/repeat_budget.h"

namespace monsoonsail {

namespace {
/// Resolution of the sliding window.
constexpr Duration sliceLength = std::chrono::milliseconds(500);
/// Fraction of the limit that is used. The endpoints receive the attempts later and closer together
/// than they were sent, and an instance that has just started does not know its earlier ones.
constexpr double usedFraction = 0.8;
} // namespace

void RepeatBudget::recordRequest(const ServiceId &service, Instant now)
{
    Usage &usage = currentUsage(service, now);
    ++usage.slices.back().requests;
    ++usage.requests;
}

bool RepeatBudget::tryConsume(const ServiceId &service, Instant now)
{
    if (remaining(service, now) < 1)
        return false;
    Usage &usage = currentUsage(service, now);
    ++usage.slices.back().repeats;
    ++usage.repeats;
    return true;
}

double RepeatBudget::remaining(const ServiceId &service, Instant now)
{
    const Usage &usage = currentUsage(service, now);
    const double allowed = m_limit.ratio * usage.requests + m_limit.slack / m_instanceCount;
    return usedFraction * allowed - usage.repeats;
}

RepeatBudget::Usage &RepeatBudget::currentUsage(const ServiceId &service, Instant now)
{
    Usage &usage = m_usage[service];
    // A slice is removed only when all of it is older than the window.
    while (!usage.slices.empty()
           && usage.slices.front().begin + sliceLength + m_limit.window < now) {
        usage.requests -= usage.slices.front().requests;
        usage.repeats -= usage.slices.front().repeats;
        usage.slices.pop_front();
    }
    if (usage.slices.empty() || usage.slices.back().begin + sliceLength <= now)
        usage.slices.push_back({.begin = now});
    return usage;
}

} // namespace monsoonsail
