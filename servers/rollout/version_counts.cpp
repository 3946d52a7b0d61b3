#include "servers/rollout/version_counts.h"

#include <cstddef>
#include <numeric>

namespace monsoonsail {

namespace {

std::uint64_t countOf(const VersionEvidence &evidence)
{
    return std::accumulate(evidence.times.begin(), evidence.times.end(),
                           std::uint64_t{evidence.answers});
}

} // namespace

void addEvidence(VersionEvidence &sum, const VersionEvidence &part)
{
    sum.answers += part.answers;
    sum.failures += part.failures;
    for (std::size_t bucket = 0; bucket < VersionEvidence::bucketCount; ++bucket)
        sum.times[bucket] += part.times[bucket];
}

bool isNewerEvidence(const VersionEvidence &evidence, const VersionEvidence &known)
{
    return countOf(evidence) >= countOf(known);
}

} // namespace monsoonsail
