#include "servers/quarantine/prompt_quarantine.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Separate ends after which a part is no longer sent on, if no endpoint has written an answer on
/// it lately, and if one has. Two ends may be chance, as when a zone is lost.
constexpr std::uint32_t maxCrashesOfUnknownPart = 3;
constexpr std::uint32_t maxCrashesOfSoundPart = 5;
/// Ends within this time count as one: a rack, a zone or a link that is lost ends many at once.
constexpr Duration minCrashGap = std::chrono::milliseconds(50);
/// An endpoint that answers this long after its reported end has not ended. Answers that arrived
/// before the end may be read later than it.
constexpr Duration lateReadTime = std::chrono::milliseconds(200);
/// Time from the last end until the part is tried again. Doubles with each further end.
constexpr Duration firstTrialDelay = std::chrono::minutes(5);
constexpr std::uint32_t maxTrialDoublings = 4;
/// A trial is over within this time; then it is the turn of another instance.
constexpr Duration trialTurn = std::chrono::seconds(15);
constexpr Duration evidenceLifetime = std::chrono::minutes(10);
/// Parts that are tried again rarely are forgotten after this time without an end.
constexpr Duration verdictLifetime = std::chrono::hours(2);
constexpr Duration liveReportTime = std::chrono::seconds(60);
constexpr Duration outdatedReportTime = std::chrono::seconds(3);
/// Evidence is in each digest for this time, so that a few of them may get lost, and only in
/// complete ones after it.
constexpr Duration newEvidenceTime = std::chrono::seconds(3);
constexpr Duration expiryInterval = std::chrono::seconds(1);

// Parts are named by callers, so their number is bounded everywhere.
constexpr std::size_t maxPartsOfRequest = 32;
constexpr std::size_t maxSuspects = 256;
constexpr std::size_t maxCrashesOfSuspect = 16;
constexpr std::size_t maxPeerSoundRuns = 1024;
constexpr std::size_t maxCrashesInDigest = 64;
constexpr std::size_t maxCrashesOfPartInDigest = 8;
constexpr std::size_t maxClearancesInDigest = 32;

std::span<const PromptPart> bounded(std::span<const PromptPart> parts)
{
    return parts.first(std::min(parts.size(), maxPartsOfRequest));
}

Instant lastCrash(const std::map<EndpointHash, Instant> &crashes)
{
    Instant last = Instant::min();
    for (const auto &[endpoint, at] : crashes)
        last = std::max(last, at);
    return last;
}

Duration trialDelay(std::uint32_t crashes)
{
    const std::uint32_t further = crashes - std::min(crashes, maxCrashesOfUnknownPart);
    return firstTrialDelay * (1 << std::min(further, maxTrialDoublings));
}

} // namespace

PromptQuarantine::PromptQuarantine(DecisionLog &log)
    : m_log(log)
    , m_isChosenForTrial([](std::uint64_t /*seed*/, Instant /*now*/) { return true; })
{ }

void PromptQuarantine::recordCrash(const ServiceId &service, std::span<const PromptPart> parts,
                                   const EndpointId &endpoint, Instant now)
{
    bool isNew = false;
    std::uint32_t position = 0;
    for (const PromptPart &part : bounded(parts)) {
        const PartHash hash = partHash(service, part);
        isNew = addCrash(hash, position++, endpoint, now) || isNew;
        m_ownCrashes[{hash, endpoint}] = now;
    }
    if (isNew)
        updateVerdicts();
}

void PromptQuarantine::recordSoundRun(const ServiceId &service, std::span<const PromptPart> parts,
                                      Instant now)
{
    const std::size_t suspects = m_suspects.size();
    for (const PromptPart &part : bounded(parts)) {
        const PartHash hash = partHash(service, part);
        m_soundRuns.record(hash, now);
        removeCrashesBefore(hash, now);
    }
    if (m_suspects.size() != suspects)
        updateVerdicts();
}

void PromptQuarantine::recordActivity(const EndpointId &endpoint, Instant at)
{
    if (!m_endedEndpoints.empty())
        markLive(endpoint, at);
}

void PromptQuarantine::markLive(EndpointHash endpoint, Instant at)
{
    const auto ended = m_endedEndpoints.find(endpoint);
    if (ended == m_endedEndpoints.end() || at < ended->second + lateReadTime)
        return;
    m_liveEndpoints[endpoint] = at;
    for (auto &[part, suspect] : m_suspects)
        suspect.crashes.erase(endpoint);
    std::erase_if(m_suspects, [](const auto &entry) { return entry.second.crashes.empty(); });
    updateVerdicts();
}

void PromptQuarantine::applyPeerDigest(const Peer &peer)
{
    bool hasChanges = false;
    const auto instantOf = [&peer](Duration age) {
        return peer.receivedAt - std::max(age, Duration::zero());
    };
    for (const Digest::SoundPart &sound : peer.digest.soundParts) {
        if (m_peerSoundRuns.size() >= maxPeerSoundRuns && !m_peerSoundRuns.contains(sound.part))
            continue;
        Instant &soundAt = m_peerSoundRuns.try_emplace(sound.part, Instant::min()).first->second;
        hasChanges = hasChanges || soundAt == Instant::min();
        soundAt = std::max(soundAt, instantOf(sound.age));
        const std::size_t suspects = m_suspects.size();
        removeCrashesBefore(sound.part, soundAt);
        hasChanges = hasChanges || m_suspects.size() != suspects;
    }
    for (const Digest::LiveEndpoint &live : peer.digest.liveEndpoints)
        markLive(live.endpoint, instantOf(live.age));
    for (const Digest::PartCrash &crash : peer.digest.partCrashes) {
        const Instant at = instantOf(crash.age);
        const auto ownSoundRun = m_soundRuns.lastUse(crash.part);
        if (ownSoundRun && *ownSoundRun >= at)
            m_outdatedReports[crash.part] = peer.receivedAt;
        hasChanges = addCrash(crash.part, crash.position, crash.endpoint, at) || hasChanges;
    }
    if (hasChanges)
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
    Suspect &suspect = m_suspects[part];
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
        return std::pair(entry.second.crashes.size(), lastCrash(entry.second.crashes));
    });
    m_suspects.erase(least);
}

void PromptQuarantine::removeCrashesBefore(PartHash part, Instant soundAt)
{
    const auto suspect = m_suspects.find(part);
    if (suspect == m_suspects.end())
        return;
    std::erase_if(suspect->second.crashes,
                  [soundAt](const auto &entry) { return entry.second <= soundAt; });
    if (suspect->second.crashes.empty())
        m_suspects.erase(suspect);
}

std::optional<Instant> PromptQuarantine::lastSoundRun(PartHash part) const
{
    std::optional<Instant> last = m_soundRuns.lastUse(part);
    const auto peers = m_peerSoundRuns.find(part);
    if (peers != m_peerSoundRuns.end() && (!last || *last < peers->second))
        last = peers->second;
    return last;
}

std::uint32_t PromptQuarantine::countCrashes(const Suspect &suspect,
                                             const std::set<EndpointHash> &explained) const
{
    std::vector<Instant> instants;
    for (const auto &[endpoint, at] : suspect.crashes) {
        if (!explained.contains(endpoint))
            instants.push_back(at);
    }
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

// Each end has one cause. So the part that explains the most ends takes these away from the other
// parts of the same requests, and only parts with enough ends of their own follow.
void PromptQuarantine::updateVerdicts()
{
    const std::map<PartHash, Verdict> before = std::exchange(m_verdicts, {});
    std::set<EndpointHash> explained;
    while (true) {
        const std::pair<const PartHash, Suspect> *worst = nullptr;
        std::uint32_t worstCrashes = 0;
        for (const auto &entry : m_suspects) {
            const std::uint32_t crashes = countCrashes(entry.second, explained);
            const std::uint32_t limit =
                    lastSoundRun(entry.first) ? maxCrashesOfSoundPart : maxCrashesOfUnknownPart;
            if (crashes < limit)
                continue;
            if (worst == nullptr
                || std::pair(crashes, entry.second.position)
                        > std::pair(worstCrashes, worst->second.position)) {
                worst = &entry;
                worstCrashes = crashes;
            }
        }
        if (worst == nullptr)
            break;
        const Instant lastCrashAt = lastCrash(worst->second.crashes);
        Verdict verdict{.part = worst->first,
                        .crashes = worstCrashes,
                        .lastCrashAt = lastCrashAt,
                        .trialAt = lastCrashAt + trialDelay(worstCrashes)};
        if (const auto old = before.find(worst->first); old != before.end())
            verdict.trialAt = std::max(verdict.trialAt, old->second.trialAt);
        m_verdicts[worst->first] = verdict;
        for (const auto &[endpoint, at] : worst->second.crashes)
            explained.insert(endpoint);
    }
    m_endedEndpoints.clear();
    for (const auto &[part, suspect] : m_suspects) {
        for (const auto &[endpoint, at] : suspect.crashes) {
            Instant &ended = m_endedEndpoints.try_emplace(endpoint, at).first->second;
            ended = std::min(ended, at);
        }
    }
    logChanges(before);
}

void PromptQuarantine::logChanges(const std::map<PartHash, Verdict> &before) const
{
    for (const auto &[part, verdict] : m_verdicts) {
        if (!before.contains(part)) {
            m_log.write(LogLevel::Warning, "prompt-part-quarantined", {},
                        {{"part_hash", toLog(part)}, {"crashes", toLog(verdict.crashes)}});
        }
    }
    for (const auto &[part, verdict] : before) {
        if (!m_verdicts.contains(part))
            m_log.write(LogLevel::Info, "prompt-part-released", {}, {{"part_hash", toLog(part)}});
    }
}

void PromptQuarantine::fillDigest(Digest &digest, Instant now) const
{
    std::vector<const Suspects::value_type *> suspects;
    for (const auto &entry : m_suspects)
        suspects.push_back(&entry);
    std::ranges::sort(suspects, std::ranges::greater(), [this](const auto *entry) {
        return std::tuple(m_verdicts.contains(entry->first), entry->second.crashes.size(),
                          lastCrash(entry->second.crashes));
    });
    const auto isNew = [now](Instant at) { return at + newEvidenceTime > now; };
    // What peers have seen is in their own digests. If all instances repeated it in each of theirs,
    // the loss of a zone would make all digests of a large fleet several times as long.
    const auto isOwnAndNew = [&](PartHash part, EndpointHash endpoint) {
        const auto own = m_ownCrashes.find({part, endpoint});
        return own != m_ownCrashes.end() && isNew(own->second);
    };
    // A zone that is lost leaves single ends for many parts that are known to be sound.
    const auto isDue = [&](const Suspects::value_type &entry) {
        const auto &[part, suspect] = entry;
        const bool isRelevant = suspect.crashes.size() > 1 || !m_soundRuns.lastUse(part);
        if (digest.isComplete)
            return isRelevant || isNew(lastCrash(suspect.crashes));
        return std::ranges::any_of(suspect.crashes, [&](const auto &crash) {
            return isOwnAndNew(entry.first, crash.first);
        });
    };
    std::erase_if(suspects, [&](const auto *entry) { return !isDue(*entry); });
    for (const auto *entry : suspects) {
        const auto &[part, suspect] = *entry;
        std::vector<std::pair<Instant, EndpointHash>> newest;
        for (const auto &[endpoint, at] : suspect.crashes) {
            if (digest.isComplete || isOwnAndNew(part, endpoint))
                newest.emplace_back(at, endpoint);
        }
        std::ranges::sort(newest, std::ranges::greater());
        newest.resize(std::min(newest.size(), maxCrashesOfPartInDigest));
        for (const auto &[at, endpoint] : newest) {
            if (digest.partCrashes.size() < maxCrashesInDigest)
                digest.partCrashes.push_back({.part = part,
                                              .endpoint = endpoint,
                                              .position = suspect.position,
                                              .age = now - at});
        }
    }
    const auto addSoundPart = [&](PartHash part) {
        const auto soundAt = m_soundRuns.lastUse(part);
        if (soundAt && digest.soundParts.size() < maxClearancesInDigest)
            digest.soundParts.push_back({.part = part, .age = now - *soundAt});
    };
    for (const auto &[part, reportedAt] : m_outdatedReports)
        addSoundPart(part);
    for (const auto *entry : suspects) {
        if (!m_outdatedReports.contains(entry->first))
            addSoundPart(entry->first);
    }
    for (const auto &[endpoint, at] : m_liveEndpoints) {
        if ((isNew(at) || digest.isComplete) && digest.liveEndpoints.size() < maxClearancesInDigest)
            digest.liveEndpoints.push_back({.endpoint = endpoint, .age = now - at});
    }
}

void PromptQuarantine::expire(Instant now)
{
    if (now < m_expiredAt + expiryInterval)
        return;
    m_expiredAt = now;
    std::erase_if(m_outdatedReports,
                  [now](const auto &entry) { return entry.second + outdatedReportTime < now; });
    std::erase_if(m_ownCrashes,
                  [now](const auto &entry) { return entry.second + newEvidenceTime < now; });
    std::erase_if(m_liveEndpoints,
                  [now](const auto &entry) { return entry.second + liveReportTime < now; });
    std::erase_if(m_peerSoundRuns,
                  [now](const auto &entry) { return entry.second + evidenceLifetime < now; });
    const std::size_t expired = std::erase_if(m_suspects, [this, now](const auto &entry) {
        const bool isQuarantined = m_verdicts.contains(entry.first);
        return lastCrash(entry.second.crashes)
                + (isQuarantined ? verdictLifetime : evidenceLifetime)
                < now;
    });
    if (expired > 0)
        updateVerdicts();
}

std::optional<PromptQuarantine::Verdict>
PromptQuarantine::find(const ServiceId &service, std::span<const PromptPart> parts) const
{
    if (m_verdicts.empty())
        return std::nullopt;
    for (const PromptPart &part : bounded(parts)) {
        const auto verdict = m_verdicts.find(partHash(service, part));
        if (verdict != m_verdicts.end())
            return verdict->second;
    }
    return std::nullopt;
}

std::optional<PromptQuarantine::Verdict>
PromptQuarantine::admit(const ServiceId &service, std::span<const PromptPart> parts, Instant now)
{
    const auto verdict = find(service, parts);
    if (!verdict || verdict->trialAt > now)
        return verdict;
    for (const PromptPart &part : bounded(parts)) {
        const auto entry = m_verdicts.find(partHash(service, part));
        if (entry == m_verdicts.end())
            continue;
        const auto turn = static_cast<std::uint64_t>((now - entry->second.trialAt) / trialTurn);
        const std::string_view turnBytes(reinterpret_cast<const char *>(&turn), sizeof turn);
        if (entry->second.trialAt > now
            || !m_isChosenForTrial(stableHash(turnBytes, entry->first), now))
            return entry->second;
        entry->second.trialAt = now + firstTrialDelay;
    }
    return std::nullopt;
}

} // namespace monsoonsail
