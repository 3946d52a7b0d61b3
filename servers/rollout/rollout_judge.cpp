#include "servers/rollout/rollout_judge.h"

#include "servers/rollout/answer_sums.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>

namespace monsoonsail {

namespace {

/// Weight of the evidence (see excessWeight()) from which on the target is bad, and from which on
/// something speaks against it: a chance of one in 10,000, and of one in 200.
constexpr double badWeight = 9.2;
constexpr double signWeight = 5.3;
constexpr std::uint64_t minFailures = 2;
constexpr std::uint64_t minSlowAnswers = 5;
/// Failures up to this share, or this many times the old versions' share, are no fault.
constexpr double toleratedFailures = 0.02;
constexpr double failureTolerance = 1.25;
/// Standard deviations of the upper bound of the old versions' share of failures.
constexpr double boundDeviations = 2;
/// Fewer recent answers of the old versions say too little of a change of the circumstances.
constexpr std::uint64_t minRecentAnswers = 30;
/// Fewer times of the old versions give no quantiles.
constexpr std::uint64_t minOldTimes = 20;
/// The target is compared with the old versions at this quantile of their times, later by some
/// buckets, of which two are a factor of two.
struct TimeTest
{
    double quantile = 0;
    std::size_t slowerBuckets = 0;
};
constexpr std::array timeTests{TimeTest{.quantile = 0.5, .slowerBuckets = 2},
                               TimeTest{.quantile = 0.75, .slowerBuckets = 2},
                               TimeTest{.quantile = 0.9, .slowerBuckets = 1}};
/// Good needs this many answers in total, and on each route this part of the number that the old
/// versions have answered, but no more than the third value.
constexpr std::uint64_t minAnswers = 30;
constexpr std::uint64_t oldAnswersForOne = 30;
constexpr std::uint64_t maxRequiredOnRoute = 20;

double toDouble(std::uint64_t count)
{
    return static_cast<double>(count);
}

/// Returns the logarithm of the likelihood ratio between the observed share and `share`, or 0 if
/// the observed one is lower. By Chernoff's bound, exp(-weight) is more than the chance of as many
/// events at `share`.
double excessWeight(std::uint64_t events, std::uint64_t count, double share)
{
    if (count == 0 || share >= 1 || toDouble(events) <= share * toDouble(count))
        return 0;
    const double observed = toDouble(events) / toDouble(count);
    double divergence = observed * std::log(observed / share);
    if (observed < 1)
        divergence += (1 - observed) * std::log((1 - observed) / (1 - share));
    return divergence * toDouble(count);
}

/// Returns the upper end of Wilson's interval of a share.
double upperShare(std::uint64_t events, std::uint64_t count)
{
    if (count == 0)
        return 1;
    const double n = toDouble(count);
    const double share = toDouble(std::min(events, count)) / n;
    constexpr double z = boundDeviations;
    const double deviation = z * std::sqrt(share * (1 - share) / n + z * z / (4 * n * n));
    return (share + z * z / (2 * n) + deviation) / (1 + z * z / n);
}

double toleratedShare(const AnswerSums &old)
{
    return std::max(toleratedFailures, failureTolerance * upperShare(old.failures, old.answers));
}

/// The strongest evidence against the target.
struct Finding
{
    double weight = 0;
    bool isSlow = false;
    bool isOnOneRoute = false;
    std::uint64_t events = 0; ///< Failures or slow answers of the target.
    std::uint64_t count = 0;  ///< Answers of the target.
    double share = 0;         ///< What the old versions' answers explain.
};

void keepStronger(Finding &finding, const Finding &other)
{
    if (other.weight > finding.weight)
        finding = other;
}

/// `lately` are the recent answers of the old versions, if there are enough.
Finding findFailures(const AnswerSums &target, const AnswerSums &old, const AnswerSums *lately)
{
    if (target.failures < minFailures)
        return {};
    double share = toleratedShare(old);
    if (lately != nullptr)
        share = std::max(share, toleratedShare(*lately));
    return {.weight = excessWeight(target.failures, target.answers, share),
            .events = target.failures,
            .count = target.answers,
            .share = share};
}

Finding findSlowness(const AnswerSums &target, const AnswerSums &old, const AnswerSums *lately)
{
    Finding finding;
    if (old.timed() < minOldTimes)
        return finding;
    for (const auto &[quantile, slowerBuckets] : timeTests) {
        std::size_t bucket = old.quantileBucket(quantile);
        if (lately != nullptr && lately->timed() >= minOldTimes)
            bucket = std::max(bucket, lately->quantileBucket(quantile));
        const std::uint64_t slow = target.slowerThan(bucket + slowerBuckets);
        if (slow < minSlowAnswers)
            continue;
        keepStronger(finding,
                     {.weight = excessWeight(slow, target.timed(), 1 - quantile),
                      .isSlow = true,
                      .events = slow,
                      .count = target.timed(),
                      .share = 1 - quantile});
    }
    return finding;
}

/// Compares the target's answers in `recent` with the old versions' in `all` and `recent`.
Finding findFaults(const RouteComparisons &recent, const RouteComparisons &all)
{
    const auto compare = [](const AnswerComparison &part, const AnswerComparison &whole) {
        const bool hasLate = &part != &whole && part.old.answers >= minRecentAnswers;
        const AnswerSums *lately = hasLate ? &part.old : nullptr;
        Finding finding = findSlowness(part.target, whole.old, lately);
        // Failures first: they are as good as certain, and what fails has no time.
        const Finding failures = findFailures(part.target, whole.old, lately);
        if (failures.weight >= badWeight || failures.weight > finding.weight)
            finding = failures;
        return finding;
    };
    Finding finding = compare(recent.all, all.all);
    for (const auto &[route, part] : recent.byRoute) {
        const auto whole = all.byRoute.find(route);
        if (whole == all.byRoute.end())
            continue;
        Finding onRoute = compare(part, whole->second);
        onRoute.isOnOneRoute = true;
        keepStronger(finding, onRoute);
    }
    return finding;
}

std::string describe(const Finding &finding)
{
    std::string text = finding.isSlow ? "slow answers: " : "failures: ";
    text += std::to_string(finding.events) + " of " + std::to_string(finding.count);
    text += finding.isOnOneRoute ? " on one route" : "";
    text += ", " + std::to_string(std::lround(finding.share * 1000)) + " per mille expected";
    return text;
}

bool hasEnoughAnswers(const RouteComparisons &all)
{
    if (all.all.target.answers < minAnswers)
        return false;
    return std::ranges::all_of(all.byRoute, [](const auto &entry) {
        const AnswerComparison &route = entry.second;
        const std::uint64_t required =
                std::min(route.old.answers / oldAnswersForOne, maxRequiredOnRoute);
        return route.target.answers >= required;
    });
}

RolloutVerdict verdictOf(const Finding &finding, const AnswerSums &target)
{
    RolloutVerdict verdict{.weight = finding.weight,
                           .hasSign = finding.weight >= signWeight,
                           .answers = static_cast<unsigned>(target.answers),
                           .failures = static_cast<unsigned>(target.failures)};
    if (verdict.hasSign)
        verdict.reason = describe(finding);
    verdict.isSlow = verdict.hasSign && finding.isSlow;
    if (finding.weight >= badWeight)
        verdict.judgement = RolloutJudgement::Bad;
    return verdict;
}

} // namespace

RolloutVerdict RolloutJudge::judge(std::span<const VersionEvidence> evidence) const
{
    const RouteComparisons all = RouteComparisons::of(evidence, m_target);
    RolloutVerdict verdict = verdictOf(findFaults(all, all), all.all.target);
    if (verdict.hasSign)
        return verdict;
    if (!hasEnoughAnswers(all)) {
        verdict.reason = "too few answers";
        return verdict;
    }
    verdict.judgement = RolloutJudgement::Good;
    verdict.reason = "no worse than the old versions";
    return verdict;
}

RolloutVerdict RolloutJudge::judgeRecent(std::span<const VersionEvidence> recent,
                                         std::span<const VersionEvidence> all) const
{
    const RouteComparisons part = RouteComparisons::of(recent, m_target);
    return verdictOf(findFaults(part, RouteComparisons::of(all, m_target)), part.all.target);
}

} // namespace monsoonsail
