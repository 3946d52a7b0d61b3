#include "servers/rollout/rollout_watch.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Length of the recent part. A service with 100 requests a second has 30 answers of the target in
/// it during the trial.
constexpr Duration recentTime = std::chrono::seconds(3);
constexpr Duration snapshotInterval = std::chrono::milliseconds(500);
/// An endpoint that ends breaks all its runs at once, and the counts of several instances arrive
/// within a digest's interval. Failures that go on later are the version's own.
constexpr Duration confirmationTime = std::chrono::milliseconds(600);
constexpr double confirmingWeight = 3;
/// The first answers of new endpoints are slow since their caches are empty.
constexpr Duration warmUpTime = std::chrono::seconds(2);
/// Time under load before a version can be found good.
constexpr Duration minExposure = std::chrono::seconds(3);

std::uint32_t difference(std::uint32_t now, std::uint32_t before)
{
    // A sum falls when a peer is no longer counted.
    return now > before ? now - before : 0;
}

void subtractTimes(VersionEvidence &now, const VersionEvidence &before)
{
    for (std::size_t bucket = 0; bucket < now.times.size(); ++bucket)
        now.times.at(bucket) = difference(now.times.at(bucket), before.times.at(bucket));
}

const VersionEvidence *findSame(std::span<const VersionEvidence> totals,
                                const VersionEvidence &evidence)
{
    const auto entry = std::ranges::find_if(totals, [&evidence](const VersionEvidence &other) {
        return other.software == evidence.software && other.routeHash == evidence.routeHash;
    });
    return entry == totals.end() ? nullptr : &*entry;
}

VersionEvidence difference(VersionEvidence now, const VersionEvidence &before)
{
    now.answers = difference(now.answers, before.answers);
    now.failures = std::min(now.answers, difference(now.failures, before.failures));
    subtractTimes(now, before);
    return now;
}

/// Returns the answers that have been counted since `before`.
std::vector<VersionEvidence> since(std::span<const VersionEvidence> before,
                                   std::span<const VersionEvidence> totals)
{
    std::vector<VersionEvidence> part(totals.begin(), totals.end());
    for (VersionEvidence &evidence : part) {
        if (const auto *earlier = findSame(before, evidence))
            evidence = difference(evidence, *earlier);
    }
    return part;
}

} // namespace

void RolloutWatch::update(std::span<const VersionEvidence> counted, RolloutPhase phase, Instant now)
{
    const std::vector<VersionEvidence> totals = withoutWarmUp(counted, now);
    RolloutVerdict verdict = m_judge.judge(totals);
    const RolloutVerdict recent = m_judge.judgeRecent(
            m_snapshots.empty() ? totals : since(m_snapshots.front().totals, totals), totals);
    keepSnapshot(totals, now);
    const bool isWorse = recent.judgement == RolloutJudgement::Bad
            && (verdict.judgement != RolloutJudgement::Bad || verdict.isSlow);
    if (isWorse || (recent.hasSign && !verdict.hasSign)) {
        verdict.judgement = recent.judgement;
        verdict.hasSign = true;
        verdict.isSlow = recent.isSlow;
        verdict.reason = "lately " + recent.reason;
    }
    m_verdict = confirm(std::move(verdict), totals, phase, now);
}

std::vector<VersionEvidence> RolloutWatch::withoutWarmUp(std::span<const VersionEvidence> totals,
                                                         Instant now)
{
    std::vector<VersionEvidence> result(totals.begin(), totals.end());
    const auto isOfTarget = [this](const VersionEvidence &evidence) {
        return evidence.software == m_target;
    };
    if (!m_firstAnswerAt && std::ranges::any_of(result, isOfTarget))
        m_firstAnswerAt = now;
    const bool isWarm = m_firstAnswerAt && now >= *m_firstAnswerAt + warmUpTime;
    if (isWarm && m_warmUp.empty())
        m_warmUp = result;
    for (VersionEvidence &evidence : result) {
        if (!isOfTarget(evidence))
            continue;
        if (!isWarm)
            evidence.times = {};
        else if (const auto *before = findSame(m_warmUp, evidence))
            subtractTimes(evidence, *before);
    }
    return result;
}

RolloutVerdict RolloutWatch::confirm(RolloutVerdict verdict,
                                     const std::vector<VersionEvidence> &totals, RolloutPhase phase,
                                     Instant now)
{
    const Duration exposure = m_firstAnswerAt ? now - *m_firstAnswerAt : Duration::zero();
    if (verdict.judgement == RolloutJudgement::Good && exposure < minExposure) {
        verdict.judgement = RolloutJudgement::Undecided;
        verdict.reason = "too little time under load";
    }
    if (!verdict.hasSign || verdict.isSlow) {
        m_failingSince.reset();
        return verdict;
    }
    if (!m_failingSince)
        m_failingSince = now;
    if (now < *m_failingSince + confirmationTime)
        m_firstFailures = totals;
    if (phase == RolloutPhase::Trial && verdict.judgement == RolloutJudgement::Bad
        && m_judge.judgeRecent(since(m_firstFailures, totals), totals).weight < confirmingWeight)
        verdict.judgement = RolloutJudgement::Undecided;
    return verdict;
}

void RolloutWatch::keepSnapshot(std::span<const VersionEvidence> totals, Instant now)
{
    if (!m_snapshots.empty() && now < m_snapshots.back().at + snapshotInterval)
        return;
    m_snapshots.push_back({.at = now, .totals = {totals.begin(), totals.end()}});
    while (m_snapshots.size() > 1 && m_snapshots.at(1).at + recentTime <= now)
        m_snapshots.pop_front();
}

} // namespace monsoonsail
