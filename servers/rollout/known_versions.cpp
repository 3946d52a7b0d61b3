#include "servers/rollout/known_versions.h"

#include <algorithm>
#include <chrono>

namespace monsoonsail {

namespace {
/// A version without endpoints for this long is new when it appears again.
constexpr Duration versionLifetime = std::chrono::seconds(30);
} // namespace

void KnownVersions::observe(const std::set<SoftwareVersion> &listed, Instant now)
{
    // Nothing is dropped while no version is listed: that is an outage, not a new version.
    if (listed.empty())
        return;
    const bool isFirst = m_versions.empty();
    for (const SoftwareVersion &software : listed) {
        const auto [entry, isAdded] = m_versions.try_emplace(software);
        if (isAdded)
            entry->second.firstSeenAt = isFirst ? Instant::min() : now;
        entry->second.lastSeenAt = now;
    }
    std::erase_if(m_versions, [now](const auto &entry) {
        return entry.second.lastSeenAt + versionLifetime < now;
    });
}

bool KnownVersions::isNew(const SoftwareVersion &software, Duration newTime, Instant now) const
{
    const auto known = m_versions.find(software);
    if (known == m_versions.end())
        return !m_versions.empty();
    return known->second.firstSeenAt > Instant::min() && known->second.firstSeenAt + newTime > now;
}

} // namespace monsoonsail
