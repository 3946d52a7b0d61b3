#include "servers/allowance/sliding_sum.h"

namespace monsoonsail {

namespace {
/// Resolution. A slice counts until all of it is older than the span.
constexpr Duration sliceLength = std::chrono::milliseconds(200);
} // namespace

void SlidingSum::add(double amount, Instant now)
{
    if (m_slices.empty() || m_slices.back().begin + sliceLength <= now)
        m_slices.push_back({.begin = now});
    m_slices.back().amount += amount;
    m_sum += amount;
}

void SlidingSum::advance(Instant now)
{
    while (!m_slices.empty() && m_slices.front().begin + sliceLength + m_span < now) {
        m_sum -= m_slices.front().amount;
        m_slices.pop_front();
    }
    if (m_slices.empty())
        m_sum = 0;
}

Instant SlidingSum::fallsTo(double target, Instant now) const
{
    double sum = m_sum;
    for (const Slice &slice : m_slices) {
        if (sum <= target)
            break;
        sum -= slice.amount;
        now = slice.begin + sliceLength + m_span;
    }
    return now;
}

} // namespace monsoonsail
