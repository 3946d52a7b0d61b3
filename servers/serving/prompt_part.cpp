#include "servers/serving/prompt_part.h"

#include "core/hash.h"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace monsoonsail {

PartHash partHash(const ServiceId &service, const PromptPart &part)
{
    const std::string_view id(reinterpret_cast<const char *>(&part.id), sizeof part.id);
    return stableHash(id, stableHash(service.view()));
}

std::vector<PartHash> partHashes(const ServiceId &service, std::span<const PromptPart> parts)
{
    std::vector<PartHash> hashes;
    for (const PromptPart &part : parts.first(std::min(parts.size(), maxSeparateParts)))
        hashes.push_back(partHash(service, part));
    if (parts.size() <= maxSeparateParts)
        return hashes;
    PartHash joined = stableHash(service.view(), maxSeparateParts);
    for (const PromptPart &part : parts.subspan(maxSeparateParts)) {
        const std::string_view id(reinterpret_cast<const char *>(&part.id), sizeof part.id);
        joined = stableHash(id, joined);
    }
    hashes.push_back(joined);
    return hashes;
}

std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts)
{
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::string partNames(std::span<const PromptPart> parts)
{
    std::ostringstream names;
    names << std::hex;
    for (const PromptPart &part : parts)
        names << (names.tellp() > 0 ? "," : "") << part.id;
    return names.str();
}

} // namespace monsoonsail
