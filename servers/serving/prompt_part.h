#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace monsoonsail {

/// One part of a prompt. Requests whose prompts begin with the same parts can share a KV cache.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Identifies a prompt part at the endpoints of one service.
using PartHash = std::uint64_t;

PartHash partHash(const ServiceId &service, const PromptPart &part);

/// Parts of a request that are looked at one by one. Those behind are taken for a single one.
inline constexpr std::size_t maxSeparateParts = 31;

/// Returns the hashes of the parts of a request, in their order. Parts that are taken for a single
/// one have one hash, behind the others.
std::vector<PartHash> partHashes(const ServiceId &service, std::span<const PromptPart> parts);

/// Returns the parts that other requests may have too. The last part is specific to the request.
std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts);

/// Returns the ids of the parts for the log, in hexadecimal and separated by commas.
std::string partNames(std::span<const PromptPart> parts);

} // namespace monsoonsail
