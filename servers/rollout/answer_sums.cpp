#include "servers/rollout/answer_sums.h"

#include <numeric>

namespace monsoonsail {

void AnswerSums::add(const VersionEvidence &evidence)
{
    answers += evidence.answers;
    failures += evidence.failures;
    for (std::size_t bucket = 0; bucket < times.size(); ++bucket)
        times.at(bucket) += evidence.times.at(bucket);
}

std::uint64_t AnswerSums::timed() const
{
    return std::accumulate(times.begin(), times.end(), std::uint64_t{0});
}

std::uint64_t AnswerSums::slowerThan(std::size_t bucket) const
{
    std::uint64_t count = 0;
    for (std::size_t slower = bucket + 1; slower < times.size(); ++slower)
        count += times.at(slower);
    return count;
}

std::size_t AnswerSums::quantileBucket(double quantile) const
{
    const double rank = quantile * static_cast<double>(timed());
    double count = 0;
    for (std::size_t bucket = 0; bucket < times.size(); ++bucket) {
        count += static_cast<double>(times.at(bucket));
        if (count >= rank)
            return bucket;
    }
    return times.size() - 1;
}

RouteComparisons RouteComparisons::of(std::span<const VersionEvidence> evidence,
                                      const SoftwareVersion &target)
{
    RouteComparisons comparisons;
    for (const VersionEvidence &entry : evidence) {
        AnswerComparison &route = comparisons.byRoute[entry.routeHash];
        const bool isTarget = entry.software == target;
        (isTarget ? comparisons.all.target : comparisons.all.old).add(entry);
        (isTarget ? route.target : route.old).add(entry);
    }
    return comparisons;
}

} // namespace monsoonsail
