#include "servers/costs/remaining_work.h"

#include <algorithm>

namespace monsoonsail {

namespace {

std::uint64_t tokenMs(std::uint64_t tokens, Instant at)
{
    return tokens * static_cast<std::uint64_t>(toMicroseconds(at) / 1000);
}

} // namespace

void UnreadTokens::add(std::uint64_t tokens, Instant at)
{
    m_tokens += tokens;
    m_tokenMs += tokenMs(tokens, at);
}

void UnreadTokens::remove(std::uint64_t tokens, Instant at)
{
    m_tokens -= tokens;
    m_tokenMs -= tokenMs(tokens, at);
}

// All are read one after the other, so the mean instant decides how far the engine has come.
double UnreadTokens::remaining(double msPerToken, Instant now) const
{
    if (m_tokens == 0)
        return 0;
    const auto tokens = static_cast<double>(m_tokens);
    // The sums may have wrapped around, their difference has not.
    const auto ageSum = static_cast<std::int64_t>(tokenMs(m_tokens, now) - m_tokenMs);
    const double ageMs = static_cast<double>(ageSum) / tokens;
    return std::clamp(tokens - ageMs / msPerToken, 0.0, tokens);
}

double slotWaitMs(double queued, unsigned batchSlots, double running, double remainingMs)
{
    if (queued <= 0 || running <= 0)
        return 0;
    // If the runs end evenly within twice their mean remaining time, the n-th of them ends after
    // n / (slots + 1) of it.
    return queued * 2 * (remainingMs / running) / (batchSlots + 1);
}

} // namespace monsoonsail
