#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Identifies a prompt prefix: the parts from the first up to and including one of them.
using PrefixHash = std::uint64_t;

/// Returns the hash of the first part, of the first two, and so on. The last part is specific to
/// the request and is left out.
std::vector<PrefixHash> sharedPrefixes(std::span<const PromptPart> parts);

/// Estimates which prompt prefixes engines have cached, from the requests that this instance has
/// sent.
class PromptCacheMap
{
public:
    /// Records that a prompt with these prefixes is sent to an engine.
    void recordPrompt(const EndpointId &engine, std::span<const PrefixHash> prefixes, Instant now);
    /// Returns how many of the prefixes, from the first, the engine has cached.
    std::size_t cachedPrefixCount(const EndpointId &engine, std::span<const PrefixHash> prefixes,
                                  Instant now) const;
    void removeEngine(const EndpointId &engine) { m_engines.erase(engine); }
    /// Removes prefixes that have not been used for a long time.
    void expire(Instant now);

private:
    std::unordered_map<EndpointId, std::unordered_map<PrefixHash, Instant>> m_engines;
};

} // namespace monsoonsail
