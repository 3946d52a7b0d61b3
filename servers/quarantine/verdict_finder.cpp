#include "servers/quarantine/verdict_finder.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <vector>

namespace monsoonsail {

namespace {

/// Separate ends after which a part is no longer simply sent on, if no endpoint has written an
/// answer on it lately, and if one has. Two ends may be chance, as when a zone is lost.
constexpr std::uint32_t maxCrashesOfUnknownPart = 3;
constexpr std::uint32_t maxCrashesOfSoundPart = 5;
/// Ends later than `lateCrashTime` after the fifth one that may be risked to tell parts apart. The
/// platform allows three such requests, 3 s after the fifth end.
constexpr std::uint32_t maxLateCrashes = 3;
constexpr std::size_t crashesBeforeLateOnes = 5;
constexpr Duration lateCrashTime = std::chrono::seconds(2);
/// Ends within this time count as one: a rack, a zone or a link that is lost ends many at once.
constexpr Duration minCrashGap = std::chrono::milliseconds(50);
/// Ends that are not taken for proof, since an endpoint may also end by chance.
constexpr std::uint32_t maxChanceCrashes = 1;
/// Time from the last conclusive end until a request with all suspects is tried again, after two,
/// three and four such ends.
constexpr Duration shortTrialDelays[] = {std::chrono::seconds(1), std::chrono::seconds(4),
                                         std::chrono::seconds(16)};
/// The same after further ends. Doubles with each one.
constexpr Duration longTrialDelay = std::chrono::minutes(5);
constexpr std::uint32_t maxTrialDoublings = 4;
/// Conclusive ends up to which the next trial may be a further late one.
constexpr std::uint32_t maxConclusiveBeforeLateTrials = 2;
/// Ends of another part that explain late ones. They are more than the trials of requests with the
/// same parts add.
constexpr std::size_t crashesThatExplainLateOnes = 4;

std::uint32_t countSeparate(std::vector<Instant> instants)
{
    std::ranges::sort(instants);
    std::uint32_t count = 0;
    Instant previous = Instant::min();
    for (const Instant at : instants) {
        if (count == 0 || at >= previous + minCrashGap) {
            ++count;
            previous = at;
        }
    }
    return count;
}

/// Returns the number of separate ends of a part that `isCounted` selects by endpoint.
template <typename Predicate>
std::uint32_t countCrashes(const CrashSuspect &suspect, const Predicate &isCounted)
{
    std::vector<Instant> instants;
    for (const auto &[endpoint, at] : suspect.crashes) {
        if (isCounted(endpoint))
            instants.push_back(at);
    }
    return countSeparate(std::move(instants));
}

/// Returns the other parts that may have caused the ends of a part, all but one at most.
std::vector<PartHash> alternativesTo(PartHash part, const CrashSuspects &suspects)
{
    std::vector<PartHash> alternatives;
    const CrashSuspect &suspect = suspects.at(part);
    for (const auto &entry : suspects) {
        const std::uint32_t unexplained = countCrashes(suspect, [&entry](EndpointHash endpoint) {
            return !entry.second.crashes.contains(endpoint);
        });
        if (entry.first != part && unexplained <= maxChanceCrashes)
            alternatives.push_back(entry.first);
    }
    return alternatives;
}

/// Returns the parts that are the only suspects of more ends than chance explains.
std::set<PartHash> certainCauses(const CrashSuspects &suspects, const EndpointEnds &ends)
{
    std::set<PartHash> causes;
    for (const auto &[part, suspect] : suspects) {
        const std::uint32_t proofs = countCrashes(suspect, [&ends](EndpointHash endpoint) {
            return ends.at(endpoint).suspects.size() == 1;
        });
        if (proofs > maxChanceCrashes)
            causes.insert(part);
    }
    return causes;
}

/// Returns the number of ends of a part long after the first ones that `isCounted` selects by
/// endpoint.
template <typename Predicate>
std::uint32_t countLateCrashes(const CrashSuspect &suspect, const Predicate &isCounted)
{
    std::vector<Instant> instants;
    for (const auto &[endpoint, at] : suspect.crashes)
        instants.push_back(at);
    if (instants.size() < crashesBeforeLateOnes)
        return 0;
    std::ranges::sort(instants);
    const Instant lateFrom = instants[crashesBeforeLateOnes - 1] + lateCrashTime;
    return countCrashes(suspect, [&](EndpointHash endpoint) {
        return suspect.crashes.at(endpoint) >= lateFrom && isCounted(endpoint);
    });
}

/// Whether another part was in use at all of these ends and at more further ones than chance
/// explains.
bool isExplainedByOther(PartHash part, const CrashSuspects &suspects)
{
    const CrashSuspect &suspect = suspects.at(part);
    return std::ranges::any_of(suspects, [&](const auto &other) {
        const bool coversAll = std::ranges::all_of(suspect.crashes, [&](const auto &crash) {
            return other.second.crashes.contains(crash.first);
        });
        return coversAll
                && countCrashes(other.second,
                                [&](EndpointHash endpoint) {
                                    return !suspect.crashes.contains(endpoint);
                                })
                > maxChanceCrashes;
    });
}

} // namespace

// Each end has one cause. A part that is proven to be one takes its ends away from the other parts
// of the same requests. Where several parts may be the cause, all of them are held.
PartVerdicts findVerdicts(const CrashSuspects &suspects, const EndpointEnds &ends,
                          const std::function<bool(PartHash)> &hasAnswered)
{
    PartVerdicts verdicts;
    const std::set<PartHash> causes = certainCauses(suspects, ends);
    for (const auto &[part, suspect] : suspects) {
        const bool isKnown = hasAnswered(part);
        const bool isProven = causes.contains(part);
        const std::uint32_t crashes = countCrashes(suspect, [&](EndpointHash endpoint) {
            return isProven
                    || std::ranges::none_of(ends.at(endpoint).suspects, [&causes](PartHash other) {
                           return causes.contains(other);
                       });
        });
        if (crashes < (isKnown ? maxCrashesOfSoundPart : maxCrashesOfUnknownPart)
            || isExplainedByOther(part, suspects))
            continue;
        std::vector<PartHash> alternatives = alternativesTo(part, suspects);
        // Many requests share a part that has had answers, so a new one is held in its place.
        if (isKnown && !std::ranges::all_of(alternatives, hasAnswered))
            continue;
        verdicts[part] = {.part = part,
                          .crashes = crashes,
                          .lastCrashAt = suspect.lastCrashAt(),
                          .isProven = isProven,
                          .alternatives = std::move(alternatives)};
    }
    return verdicts;
}

RequestEvidence weighEvidence(const std::set<PartHash> &parts, const PartVerdicts &verdicts,
                              const CrashSuspects &suspects, const EndpointEnds &ends)
{
    RequestEvidence evidence;
    const auto isUnexplained = [&](EndpointHash endpoint) {
        return std::ranges::none_of(ends.at(endpoint).suspects, [&](PartHash other) {
            return !parts.contains(other)
                    && suspects.at(other).crashes.size() >= crashesThatExplainLateOnes;
        });
    };
    for (const PartHash part : parts) {
        if (!verdicts.contains(part))
            continue;
        const CrashSuspect &suspect = suspects.at(part);
        evidence.unexplainedLateEnds =
                std::max(evidence.unexplainedLateEnds, countLateCrashes(suspect, isUnexplained));
        evidence.lateEnds = std::max(evidence.lateEnds,
                                     countLateCrashes(suspect, [](EndpointHash) { return true; }));
    }
    std::vector<Instant> conclusive;
    for (const auto &[endpoint, end] : ends) {
        const bool isHeld = std::ranges::any_of(
                end.suspects, [&verdicts](PartHash part) { return verdicts.contains(part); });
        if (isHeld && std::ranges::all_of(end.suspects, [&parts](PartHash part) {
                return parts.contains(part);
            })) {
            conclusive.push_back(end.at);
            evidence.lastConclusiveAt = std::max(evidence.lastConclusiveAt, end.at);
        }
    }
    evidence.conclusiveEnds = countSeparate(std::move(conclusive));
    return evidence;
}

bool tellsApart(const RequestEvidence &evidence)
{
    return evidence.unexplainedLateEnds < maxLateCrashes
            && evidence.conclusiveEnds <= maxChanceCrashes;
}

// A part that crashes endpoints ends one more with each such trial, so the delays grow. The first
// ones are short: until the fifth end, further ones are within what the platform allows.
Duration trialDelay(const RequestEvidence &evidence)
{
    const std::uint32_t further =
            evidence.conclusiveEnds - std::min(evidence.conclusiveEnds, maxChanceCrashes + 1);
    const bool mayBeLate = evidence.conclusiveEnds <= maxConclusiveBeforeLateTrials
            ? evidence.unexplainedLateEnds < maxLateCrashes
            : evidence.lateEnds == 0;
    if (mayBeLate && further < std::size(shortTrialDelays))
        return shortTrialDelays[further];
    const std::uint32_t doublings =
            further - std::min<std::uint32_t>(further, std::size(shortTrialDelays));
    return longTrialDelay * (1 << std::min(doublings, maxTrialDoublings));
}

} // namespace monsoonsail
