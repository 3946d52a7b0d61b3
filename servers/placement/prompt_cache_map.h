#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Identifies the parts of a prompt from its front up to one of them.
using PrefixHash = std::uint64_t;

/// Returns the hash of the first part, of the first two, and so on. The last part belongs to the
/// request itself and is left out.
std::vector<PrefixHash> sharedPrefixes(std::span<const PromptPart> parts);

/// Which prompt prefixes engines hold, as far as this instance has sent requests with them.
class PromptCacheMap
{
public:
    /// Told that an engine is reading a prompt with these prefixes.
    void recordPrompt(const EndpointId &engine, std::span<const PrefixHash> prefixes, Instant now);
    /// Returns how many of the prefixes, from the front, the engine holds.
    std::size_t cachedPrefixCount(const EndpointId &engine, std::span<const PrefixHash> prefixes,
                                  Instant now) const;
    void removeEngine(const EndpointId &engine) { m_engines.erase(engine); }
    /// Drops what has long been unused.
    void expire(Instant now);

private:
    std::unordered_map<EndpointId, std::unordered_map<PrefixHash, Instant>> m_engines;
};

} // namespace monsoonsail
