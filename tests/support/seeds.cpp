#include "tests/support/seeds.h"

#include <cstdlib>

namespace monsoonsail {

std::vector<std::uint64_t> seedsToRun(const char *variable, std::vector<std::uint64_t> regular)
{
    const char *range = std::getenv(variable);
    if (range == nullptr)
        return regular;
    std::vector<std::uint64_t> seeds;
    char *rest = nullptr;
    const std::uint64_t first = std::strtoull(range, &rest, 10);
    const std::uint64_t last = *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first;
    for (std::uint64_t seed = first; seed <= last; ++seed)
        seeds.push_back(seed);
    return seeds;
}

} // namespace monsoonsail
