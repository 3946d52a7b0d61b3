#pragma once

#include <cstdint>

namespace monsoonsail {

/// One part of a prompt. Requests whose prompts begin with the same parts can share a KV cache.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

} // namespace monsoonsail
