#include "servers/placement/prompt_cache_map.h"

#include "core/hash.h"

#include <string_view>

namespace monsoonsail {

namespace {
/// Engines evict the least recently used parts. Their caches hold the prompts of several minutes.
constexpr Duration prefixLifetime = std::chrono::seconds(60);
} // namespace

std::vector<PrefixHash> sharedPrefixes(std::span<const PromptPart> parts)
{
    std::vector<PrefixHash> prefixes;
    PrefixHash hash = 0;
    for (const PromptPart &part : sharedParts(parts)) {
        const std::uint64_t id = part.id;
        hash = stableHash({reinterpret_cast<const char *>(&id), sizeof id}, hash);
        prefixes.push_back(hash);
    }
    return prefixes;
}

void PromptCacheMap::recordPrompt(const EndpointId &engine, std::span<const PrefixHash> prefixes,
                                  Instant now)
{
    auto &enginePrefixes = m_engines[engine];
    for (const PrefixHash prefix : prefixes)
        enginePrefixes[prefix] = now;
}

std::size_t PromptCacheMap::cachedPrefixCount(const EndpointId &engine,
                                              std::span<const PrefixHash> prefixes,
                                              Instant now) const
{
    const auto enginePrefixes = m_engines.find(engine);
    if (enginePrefixes == m_engines.end())
        return 0;
    std::size_t count = 0;
    for (const PrefixHash prefix : prefixes) {
        const auto entry = enginePrefixes->second.find(prefix);
        if (entry == enginePrefixes->second.end() || entry->second + prefixLifetime < now)
            break;
        ++count;
    }
    return count;
}

void PromptCacheMap::expire(Instant now)
{
    for (auto &[engine, prefixes] : m_engines)
        std::erase_if(prefixes,
                      [now](const auto &entry) { return entry.second + prefixLifetime < now; });
}

} // namespace monsoonsail
