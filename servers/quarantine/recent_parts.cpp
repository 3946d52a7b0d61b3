#include "servers/quarantine/recent_parts.h"

#include <utility>

namespace monsoonsail {

namespace {
/// Parts are remembered for one to two generations.
constexpr Duration generationTime = std::chrono::minutes(10);
constexpr std::size_t maxPartsPerGeneration = 10'000;
} // namespace

void RecentParts::record(PartHash part, Instant now)
{
    if (m_current.size() >= maxPartsPerGeneration || m_currentSince + generationTime <= now) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current[part] = now;
}

std::optional<Instant> RecentParts::lastUse(PartHash part) const
{
    for (const Uses *uses : {&m_current, &m_previous}) {
        if (const auto entry = uses->find(part); entry != uses->end())
            return entry->second;
    }
    return std::nullopt;
}

} // namespace monsoonsail
