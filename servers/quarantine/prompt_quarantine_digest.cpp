#include "servers/quarantine/prompt_quarantine.h"

#include <algorithm>
#include <functional>
#include <tuple>

// The part of the prompt quarantine that exchanges evidence with the other entry instances.

namespace monsoonsail {

namespace {

constexpr std::size_t maxPeerSoundRuns = 1024;
constexpr std::size_t maxCrashesInDigest = 64;
constexpr std::size_t maxCrashesOfPartInDigest = 8;
constexpr std::size_t maxClearancesInDigest = 32;

} // namespace

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
        hasChanges = removeCrashesBefore(sound.part, soundAt) > 0 || hasChanges;
    }
    for (const Digest::LiveEndpoint &live : peer.digest.liveEndpoints)
        markLive(live.endpoint, instantOf(live.age));
    for (const Digest::PartCrash &crash : peer.digest.partCrashes) {
        const Instant at = instantOf(crash.age);
        const auto ownSoundRun = m_soundRuns.lastUse(crash.part);
        if (ownSoundRun && *ownSoundRun >= at)
            m_clearances[crash.part] = peer.receivedAt + evidenceReportTime;
        hasChanges = addCrash(crash.part, crash.position, crash.endpoint, at) || hasChanges;
    }
    m_trials.applyPeerDigest(peer);
    if (hasChanges)
        updateVerdicts();
}

void PromptQuarantine::fillDigest(Digest &digest, Instant now) const
{
    std::vector<const CrashSuspects::value_type *> suspects;
    for (const auto &entry : m_suspects)
        suspects.push_back(&entry);
    std::ranges::sort(suspects, std::ranges::greater(), [this](const auto *entry) {
        return std::tuple(m_verdicts.contains(entry->first), entry->second.crashes.size(),
                          entry->second.lastCrashAt());
    });
    const auto isNew = [now](Instant at) { return at + evidenceReportTime > now; };
    // What peers have seen is in their own digests. If all instances repeated it in each of theirs,
    // the loss of a zone would make all digests of a large fleet several times as long.
    const auto isOwnAndNew = [&](PartHash part, EndpointHash endpoint) {
        const auto own = m_ownCrashes.find({part, endpoint});
        return own != m_ownCrashes.end() && isNew(own->second);
    };
    // A zone that is lost leaves single ends for many parts that are known to be sound.
    const auto isDue = [&](const CrashSuspects::value_type &entry) {
        const auto &[part, suspect] = entry;
        const bool isRelevant = suspect.crashes.size() > 1 || !m_soundRuns.lastUse(part);
        if (digest.isComplete)
            return isRelevant || isNew(suspect.lastCrashAt());
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
    for (const auto &[part, until] : m_clearances)
        addSoundPart(part);
    for (const auto *entry : suspects) {
        if (!m_clearances.contains(entry->first))
            addSoundPart(entry->first);
    }
    for (const auto &[endpoint, at] : m_liveEndpoints) {
        if ((isNew(at) || digest.isComplete) && digest.liveEndpoints.size() < maxClearancesInDigest)
            digest.liveEndpoints.push_back({.endpoint = endpoint, .age = now - at});
    }
    m_trials.fillDigest(digest, now);
}

} // namespace monsoonsail
