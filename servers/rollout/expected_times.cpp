#include "servers/rollout/expected_times.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Fixed part of the time to a first event, as the prompt tokens that an engine reads in it.
constexpr double fixedTokens = 2000;
constexpr unsigned minSamples = 4;
/// Runs over which the mean is taken.
constexpr unsigned meanedSamples = 32;
/// Limit on what one run changes, in natural logarithms, so that a stalled run counts little.
constexpr double maxDeviation = 1.5;
constexpr double minTimeMs = 0.01;
constexpr std::size_t maxRoutes = 512;

double workOf(ExpectedTimes::Kind kind, std::uint32_t uncachedTokens)
{
    return kind == ExpectedTimes::Kind::FirstEvent ? fixedTokens + uncachedTokens : 1;
}

} // namespace

void ExpectedTimes::record(std::uint64_t routeHash, Kind kind, std::uint32_t uncachedTokens,
                           Duration time)
{
    const auto key = std::pair(routeHash, kind);
    if (m_usual.size() >= maxRoutes && !m_usual.contains(key))
        return;
    Usual &usual = m_usual[key];
    const double logTime = std::log(std::max(toMs(time), minTimeMs) / workOf(kind, uncachedTokens));
    usual.samples = std::min(usual.samples + 1, meanedSamples);
    const double deviation = usual.samples <= minSamples
            ? logTime - usual.logTime
            : std::clamp(logTime - usual.logTime, -maxDeviation, maxDeviation);
    usual.logTime += deviation / usual.samples;
}

std::optional<Duration> ExpectedTimes::expected(std::uint64_t routeHash, Kind kind,
                                                std::uint32_t uncachedTokens) const
{
    const auto found = m_usual.find({routeHash, kind});
    if (found == m_usual.end() || found->second.samples < minSamples)
        return std::nullopt;
    return fromMs(std::exp(found->second.logTime) * workOf(kind, uncachedTokens));
}

} // namespace monsoonsail
