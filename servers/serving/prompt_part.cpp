#include "servers/serving/prompt_part.h"

#include "core/hash.h"

#include <sstream>

namespace monsoonsail {

PartHash partHash(const ServiceId &service, const PromptPart &part)
{
    const std::string_view id(reinterpret_cast<const char *>(&part.id), sizeof part.id);
    return stableHash(id, stableHash(service.view()));
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
