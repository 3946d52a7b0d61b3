#include "servers/metering/usage_meter.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
/// Windows whose counts a digest carries: a report is due within two windows after its own.
constexpr std::size_t windowsPerDigest = 3;
} // namespace

UsageMeter::UsageMeter(std::string incarnation, Duration windowLength)
    : m_incarnation(std::move(incarnation))
    , m_windowLength(windowLength)
{ }

void UsageMeter::countRequest(const AccountId &account, Instant at)
{
    ++m_counts[windowAt(at)][m_incarnation][account];
}

void UsageMeter::recordCounts(const std::string &incarnation, WindowNumber window,
                              const UsageCounts &counts)
{
    UsageCounts &known = m_counts[window][incarnation];
    for (const auto &[account, requests] : counts)
        known[account] = std::max(known[account], requests);
}

void UsageMeter::applyPeerDigest(const Peer &peer)
{
    UsageCounts *known = nullptr;
    WindowNumber window = 0;
    for (const Digest::UsageCount &count : peer.digest.usageCounts) {
        if (known == nullptr || window != count.window) {
            window = count.window;
            known = &m_counts[window][peer.digest.incarnation];
        }
        std::uint32_t &requests = (*known)[count.account];
        requests = std::max(requests, count.requests);
    }
}

WindowNumber UsageMeter::windowAt(Instant at) const
{
    return static_cast<WindowNumber>((at + m_correction).time_since_epoch() / m_windowLength);
}

Instant UsageMeter::windowEnd(WindowNumber window) const
{
    const auto next = static_cast<std::int64_t>(window + 1);
    return Instant(m_windowLength * next) - m_correction;
}

UsageCounts UsageMeter::ownCounts(WindowNumber window) const
{
    const auto counts = m_counts.find(window);
    if (counts == m_counts.end())
        return {};
    const auto own = counts->second.find(m_incarnation);
    return own == counts->second.end() ? UsageCounts() : own->second;
}

UsageCounts UsageMeter::totalCounts(WindowNumber window) const
{
    UsageCounts total;
    const auto counts = m_counts.find(window);
    if (counts == m_counts.end())
        return total;
    for (const auto &[incarnation, incarnationCounts] : counts->second) {
        for (const auto &[account, requests] : incarnationCounts)
            total[account] += requests;
    }
    return total;
}

std::vector<Digest::UsageCount> UsageMeter::recentOwnCounts() const
{
    std::vector<Digest::UsageCount> recent;
    std::size_t windows = 0;
    for (auto entry = m_counts.rbegin(); entry != m_counts.rend() && windows < windowsPerDigest;
         ++entry, ++windows) {
        for (const auto &[account, requests] : ownCounts(entry->first))
            recent.push_back({.window = entry->first, .account = account, .requests = requests});
    }
    return recent;
}

void UsageMeter::forgetBefore(WindowNumber window)
{
    m_counts.erase(m_counts.begin(), m_counts.lower_bound(window));
}

} // namespace monsoonsail
