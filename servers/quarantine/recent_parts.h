#pragma once

#include "core/instant.h"
#include "servers/serving/prompt_part.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace monsoonsail {

/// Remembers when prompt parts were last used. Keeps a bounded number of parts, the most recent
/// ones.
class RecentParts
{
public:
    void record(PartHash part, Instant now);
    /// Returns when the part was last used, or std::nullopt if that was long ago or never.
    std::optional<Instant> lastUse(PartHash part) const;
    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    using Uses = std::unordered_map<PartHash, Instant>;

    Uses m_current;
    Uses m_previous; ///< Parts that were used before those of m_current.
    Instant m_currentSince;
};

} // namespace monsoonsail
