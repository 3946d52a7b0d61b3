#include "servers/quarantine/prompt_quarantine.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// An endpoint that answers this long after its reported end has not ended. Answers that arrived
/// before the end may be read later than it.
constexpr Duration lateReadTime = std::chrono::milliseconds(200);
constexpr Duration evidenceLifetime = std::chrono::minutes(10);
/// Parts that are tried again rarely are forgotten after this time without an end.
constexpr Duration verdictLifetime = std::chrono::hours(2);
constexpr Duration liveReportTime = std::chrono::seconds(60);
/// Maximum pause between two trials that tell nothing apart. It matters only if the first one has
/// had no result.
constexpr Duration maxTrialPause = std::chrono::seconds(10);
/// Time after which a request should be sent again that has to wait until parts are told apart.
constexpr Duration tellingApartRetryDelay = std::chrono::milliseconds(500);
constexpr Duration expiryInterval = std::chrono::seconds(1);

// Parts are named by callers, so their number is bounded everywhere.
constexpr std::size_t maxSuspects = 256;
constexpr std::size_t maxCrashesOfSuspect = 16;

bool isOtherVerdict(const PartVerdict &old, const PartVerdict &verdict)
{
    return old.isProven != verdict.isProven || old.alternatives != verdict.alternatives;
}

} // namespace

PromptQuarantine::PromptQuarantine(DecisionLog &log)
    : m_log(log)
{ }

void PromptQuarantine::recordCrash(const ServiceId &service, std::span<const PromptPart> parts,
                                   const EndpointId &endpoint, Instant now)
{
    bool isNew = false;
    std::uint32_t position = 0;
    for (const PartHash hash : partHashes(service, parts)) {
        isNew = addCrash(hash, position++, endpoint, now) || isNew;
        m_ownCrashes[{hash, endpoint}] = now;
    }
    if (isNew && updateVerdicts())
        m_newsHandler();
}

void PromptQuarantine::recordSoundRun(const ServiceId &service, std::span<const PromptPart> parts,
                                      Instant now)
{
    bool hasChanges = false;
    for (const PartHash hash : partHashes(service, parts)) {
        m_soundRuns.record(hash, now);
        const std::size_t removed = removeCrashesBefore(hash, now);
        hasChanges = hasChanges || removed > 0;
        // A zone that is lost leaves single ends for many parts; peers don't hold these.
        if (removed > 1)
            m_clearances[hash] = now + evidenceReportTime;
    }
    if (hasChanges && updateVerdicts())
        m_newsHandler();
}

void PromptQuarantine::recordActivity(const EndpointId &endpoint, Instant at)
{
    if (!m_ends.empty())
        markLive(endpoint, at);
}

void PromptQuarantine::markLive(EndpointHash endpoint, Instant at)
{
    const auto ended = m_ends.find(endpoint);
    if (ended == m_ends.end() || at < ended->second.at + lateReadTime)
        return;
    m_liveEndpoints[endpoint] = at;
    for (auto &[part, suspect] : m_suspects)
        suspect.crashes.erase(endpoint);
    std::erase_if(m_suspects, [](const auto &entry) { return entry.second.crashes.empty(); });
    updateVerdicts();
}

bool PromptQuarantine::addCrash(PartHash part, std::uint32_t position, EndpointHash endpoint,
                                Instant at)
{
    const auto live = m_liveEndpoints.find(endpoint);
    if (live != m_liveEndpoints.end() && live->second >= at)
        return false;
    if (const auto soundAt = lastSoundRun(part); soundAt && *soundAt >= at)
        return false;
    if (!m_suspects.contains(part))
        makeRoom();
    CrashSuspect &suspect = m_suspects[part];
    suspect.position = std::max(suspect.position, position);
    const auto known = suspect.crashes.find(endpoint);
    if (known != suspect.crashes.end()) {
        // Each report arrives a little after it was sent, so the earliest time is the best.
        known->second = std::min(known->second, at);
        return false;
    }
    if (suspect.crashes.size() >= maxCrashesOfSuspect) {
        const auto oldest = std::ranges::min_element(
                suspect.crashes, {}, [](const auto &entry) { return entry.second; });
        if (oldest->second >= at)
            return false;
        suspect.crashes.erase(oldest);
    }
    suspect.crashes[endpoint] = at;
    return true;
}

void PromptQuarantine::makeRoom()
{
    if (m_suspects.size() < maxSuspects)
        return;
    // Quarantined parts have the most ends, so they are the last to go.
    const auto least = std::ranges::min_element(m_suspects, {}, [](const auto &entry) {
        return std::pair(entry.second.crashes.size(), entry.second.lastCrashAt());
    });
    m_suspects.erase(least);
}

std::size_t PromptQuarantine::removeCrashesBefore(PartHash part, Instant soundAt)
{
    const auto suspect = m_suspects.find(part);
    if (suspect == m_suspects.end())
        return 0;
    const std::size_t removed =
            std::erase_if(suspect->second.crashes,
                          [soundAt](const auto &entry) { return entry.second <= soundAt; });
    if (suspect->second.crashes.empty())
        m_suspects.erase(suspect);
    return removed;
}

std::optional<Instant> PromptQuarantine::lastSoundRun(PartHash part) const
{
    std::optional<Instant> last = m_soundRuns.lastUse(part);
    const auto peers = m_peerSoundRuns.find(part);
    if (peers != m_peerSoundRuns.end() && (!last || *last < peers->second))
        last = peers->second;
    return last;
}

bool PromptQuarantine::updateVerdicts()
{
    m_ends = endsOf(m_suspects);
    const auto hasAnswered = [this](PartHash part) { return lastSoundRun(part).has_value(); };
    const PartVerdicts before =
            std::exchange(m_verdicts, findVerdicts(m_suspects, m_ends, hasAnswered));
    bool hasChanges = before.size() != m_verdicts.size();
    for (auto &[part, verdict] : m_verdicts) {
        verdict.heldSince = verdict.lastCrashAt;
        const auto old = before.find(part);
        hasChanges = hasChanges || old == before.end() || isOtherVerdict(old->second, verdict);
        if (old != before.end())
            verdict.heldSince = old->second.heldSince;
    }
    if (hasChanges)
        logChanges(before);
    return hasChanges;
}

void PromptQuarantine::logChanges(const PartVerdicts &before) const
{
    for (const auto &[part, verdict] : m_verdicts) {
        const auto old = before.find(part);
        if (old == before.end() || isOtherVerdict(old->second, verdict)) {
            m_log.write(LogLevel::Warning, "prompt-part-quarantined", {},
                        {{"part_hash", toLog(part)},
                         {"crashes", toLog(verdict.crashes)},
                         {"proven", verdict.isProven},
                         {"same_evidence", alternativeHashes(verdict)}});
        }
    }
    for (const auto &[part, verdict] : before) {
        if (!m_verdicts.contains(part))
            m_log.write(LogLevel::Info, "prompt-part-released", {}, {{"part_hash", toLog(part)}});
    }
}

void PromptQuarantine::expire(Instant now)
{
    if (now < m_expiredAt + expiryInterval)
        return;
    m_expiredAt = now;
    m_trials.expire(now);
    std::erase_if(m_clearances, [now](const auto &entry) { return entry.second < now; });
    std::erase_if(m_ownCrashes,
                  [now](const auto &entry) { return entry.second + evidenceReportTime < now; });
    std::erase_if(m_liveEndpoints,
                  [now](const auto &entry) { return entry.second + liveReportTime < now; });
    std::erase_if(m_peerSoundRuns,
                  [now](const auto &entry) { return entry.second + evidenceLifetime < now; });
    const std::size_t expired = std::erase_if(m_suspects, [this, now](const auto &entry) {
        const bool isQuarantined = m_verdicts.contains(entry.first);
        return entry.second.lastCrashAt() + (isQuarantined ? verdictLifetime : evidenceLifetime)
                < now;
    });
    if (expired > 0)
        updateVerdicts();
}

std::optional<PartVerdict> PromptQuarantine::find(const ServiceId &service,
                                                  std::span<const PromptPart> parts) const
{
    if (m_verdicts.empty())
        return std::nullopt;
    for (const PartHash part : partHashes(service, parts)) {
        const auto verdict = m_verdicts.find(part);
        if (verdict != m_verdicts.end())
            return verdict->second;
    }
    return std::nullopt;
}

std::optional<PromptQuarantine::Refusal> PromptQuarantine::admit(const ServiceId &service,
                                                                 std::span<const PromptPart> parts,
                                                                 RequestNumber request, Instant now)
{
    if (m_verdicts.empty())
        return std::nullopt;
    const std::vector<PartHash> ordered = partHashes(service, parts);
    const std::set<PartHash> hashes(ordered.begin(), ordered.end());
    const HeldParts held = heldParts(hashes);
    if (held.empty())
        return std::nullopt;
    const RequestEvidence evidence = weighEvidence(hashes, m_verdicts, m_suspects, m_ends);
    std::vector<PartHash> heldHashes;
    std::set<PartHash> related;
    for (const PartVerdict *verdict : held) {
        heldHashes.push_back(verdict->part);
        related.insert(verdict->part);
        related.insert(verdict->alternatives.begin(), verdict->alternatives.end());
    }
    const PartVerdict &latest = **std::ranges::max_element(held, {}, &PartVerdict::lastCrashAt);
    Instant trialAt = latest.lastCrashAt;
    if (!tellsApart(evidence)) {
        const Duration delay = trialDelay(evidence);
        const Instant lastEndAt =
                evidence.conclusiveEnds > 0 ? evidence.lastConclusiveAt : latest.lastCrashAt;
        trialAt = std::max(lastEndAt + delay,
                           m_trials.lastBeginOf(heldHashes) + std::min(delay, maxTrialPause));
    }
    const std::vector<PartHash> relatedParts(related.begin(), related.end());
    if (trialAt <= now && m_trials.mayBegin(relatedParts, trialAt, now)) {
        m_trials.begin(request, heldHashes, now);
        m_newsHandler();
        return std::nullopt;
    }
    return Refusal{.verdict = latest,
                   .evidence = evidence,
                   .retryAt = std::max(trialAt, now + tellingApartRetryDelay),
                   .trialAt = trialAt};
}

PromptQuarantine::HeldParts PromptQuarantine::heldParts(const std::set<PartHash> &parts) const
{
    HeldParts held;
    for (const PartHash part : parts) {
        const auto verdict = m_verdicts.find(part);
        if (verdict != m_verdicts.end())
            held.push_back(&verdict->second);
    }
    return held;
}

} // namespace monsoonsail
