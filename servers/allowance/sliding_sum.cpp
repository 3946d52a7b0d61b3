#include "servers/allowance/sliding_sum.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>

namespace monsoonsail {

namespace {
/// Resolution of the sum. A slice counts until all of it is older than the span.
constexpr Duration sliceLength = std::chrono::milliseconds(200);
constexpr Duration minSteadyTime = std::chrono::seconds(1);
} // namespace

void SlidingSum::clear()
{
    m_slices.clear();
    m_sum = 0;
}

void SlidingSum::add(double amount, Instant at)
{
    m_sum += amount;
    // Amounts nearly always arrive in order, so the position is usually the end.
    auto position = m_slices.end();
    while (position != m_slices.begin() && std::prev(position)->begin > at)
        --position;
    if (position != m_slices.begin() && std::prev(position)->begin + sliceLength > at)
        std::prev(position)->amount += amount;
    else
        m_slices.insert(position, {.begin = at, .amount = amount});
}

void SlidingSum::addEvenly(double amount, Instant begin, Instant end)
{
    const std::int64_t steps = std::max<std::int64_t>(1, (end - begin) / sliceLength);
    const std::int64_t stepsOfSpan = m_span / sliceLength + 1;
    for (std::int64_t step = 0; step < std::min(steps, stepsOfSpan); ++step)
        add(amount / static_cast<double>(steps), end - sliceLength * step);
}

void SlidingSum::subtract(const SlidingSum &other)
{
    for (const Slice &slice : other.m_slices)
        add(-slice.amount, slice.begin);
}

void SlidingSum::advance(Instant now)
{
    auto kept = m_slices.begin();
    for (; kept != m_slices.end() && kept->begin + sliceLength + m_span < now; ++kept)
        m_sum -= kept->amount;
    m_slices.erase(m_slices.begin(), kept);
    if (m_slices.empty())
        m_sum = 0;
}

std::vector<double> SlidingSum::binnedAmounts(std::size_t binCount, Instant now) const
{
    std::vector<double> bins(binCount);
    const Duration length = m_span / static_cast<std::int64_t>(binCount);
    for (const Slice &slice : m_slices) {
        const auto index = static_cast<std::size_t>(
                std::max<std::int64_t>(0, (now - slice.begin - sliceLength / 2) / length));
        bins.at(std::min(index, binCount - 1)) += slice.amount;
    }
    return bins;
}

Instant SlidingSum::timeOfFallTo(double target, Instant now) const
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

double SlidingSum::maxSteadyRate(double limit, Duration horizon, Instant now) const
{
    double sum = m_sum;
    double rate = std::numeric_limits<double>::infinity();
    // The sum is highest just before a slice leaves it.
    const auto bound = [&rate, &sum, limit, now](Instant at) {
        rate = std::min(rate, (limit - sum) / toSeconds(at - now));
    };
    for (const Slice &slice : m_slices) {
        const Instant leavesAt = slice.begin + sliceLength + m_span;
        if (leavesAt >= now + horizon)
            break;
        // What leaves within moments would make the rate jump with each slice.
        if (leavesAt >= now + minSteadyTime)
            bound(leavesAt);
        sum -= slice.amount;
    }
    bound(now + horizon);
    return std::max(0.0, rate);
}

} // namespace monsoonsail
