#pragma once

#include "core/identifiers.h"
#include "servers/rollout/version_evidence.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>

namespace monsoonsail {

/// Answers of some software versions.
struct AnswerSums
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::array<std::uint64_t, VersionEvidence::bucketCount> times{};

    void add(const VersionEvidence &evidence);
    std::uint64_t timed() const;
    /// Returns the number of answers whose time is in a bucket after this one.
    std::uint64_t slowerThan(std::size_t bucket) const;
    /// Returns the bucket in which the quantile lies.
    std::size_t quantileBucket(double quantile) const;
};

/// Answers of the target and of the old versions.
struct AnswerComparison
{
    AnswerSums target;
    AnswerSums old;
};

/// The comparison on all routes together, and on each.
struct RouteComparisons
{
    AnswerComparison all;
    std::map<std::uint64_t, AnswerComparison> byRoute;

    static RouteComparisons of(std::span<const VersionEvidence> evidence,
                               const SoftwareVersion &target);
};

} // namespace monsoonsail
