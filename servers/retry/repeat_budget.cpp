#include "servers/retry/repeat_budget.h"

namespace monsoonsail {

namespace {
/// Resolution of the sliding window.
constexpr Duration sliceLength = std::chrono::milliseconds(500);
/// Part of the limit that is used. The endpoints see the attempts a little later and closer
/// together than they were sent, and an instance that has just started knows no earlier ones.
constexpr double usedPart = 0.8;
} // namespace

void RepeatBudget::arrived(const ServiceId &service, Instant now)
{
    Use &use = current(service, now);
    ++use.slices.back().requests;
    ++use.requests;
}

bool RepeatBudget::take(const ServiceId &service, Instant now)
{
    if (left(service, now) < 1)
        return false;
    Use &use = current(service, now);
    ++use.slices.back().repeats;
    ++use.repeats;
    return true;
}

double RepeatBudget::left(const ServiceId &service, Instant now)
{
    const Use &use = current(service, now);
    const double allowed = m_limit.ratio * use.requests + m_limit.slack / m_instances;
    return usedPart * allowed - use.repeats;
}

RepeatBudget::Use &RepeatBudget::current(const ServiceId &service, Instant now)
{
    Use &use = m_uses[service];
    // A slice leaves only when all of it is older than the window.
    while (!use.slices.empty() && use.slices.front().begin + sliceLength + m_limit.window < now) {
        use.requests -= use.slices.front().requests;
        use.repeats -= use.slices.front().repeats;
        use.slices.pop_front();
    }
    if (use.slices.empty() || use.slices.back().begin + sliceLength <= now)
        use.slices.push_back({.begin = now});
    return use;
}

} // namespace monsoonsail
