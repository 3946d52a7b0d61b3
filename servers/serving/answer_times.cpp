#include "servers/serving/answer_times.h"

#include <cmath>

namespace monsoonsail {

namespace {
/// Weights of the newest time, and the number of deviations allowed for, as for retransmissions of
/// TCP (RFC 6298).
constexpr double newTimeWeight = 0.125;
constexpr double newDeviationWeight = 0.25;
constexpr double allowedDeviations = 4;
/// Configurations remove routes and add others, which have new names.
constexpr std::size_t maxRoutes = 2000;
} // namespace

void AnswerTimes::record(const std::string &route, Duration time)
{
    if (m_times.size() >= maxRoutes && !m_times.contains(route))
        m_times.clear();
    const double ms = toMs(time);
    const auto [entry, isNew] = m_times.try_emplace(route);
    Times &times = entry->second;
    if (isNew) {
        times = {.meanMs = ms, .deviationMs = ms / 2};
        return;
    }
    times.deviationMs += newDeviationWeight * (std::abs(ms - times.meanMs) - times.deviationMs);
    times.meanMs += newTimeWeight * (ms - times.meanMs);
}

std::optional<Duration> AnswerTimes::expected(const std::string &route) const
{
    const auto entry = m_times.find(route);
    if (entry == m_times.end())
        return std::nullopt;
    return fromMs(entry->second.meanMs + allowedDeviations * entry->second.deviationMs);
}

} // namespace monsoonsail
