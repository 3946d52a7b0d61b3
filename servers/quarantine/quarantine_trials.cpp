#include "servers/quarantine/quarantine_trials.h"

#include <algorithm>
#include <chrono>

namespace monsoonsail {

namespace {

/// Time for a trial to have a result. Its answer may be late, or its instance may have ended.
constexpr Duration maxTrialTime = std::chrono::seconds(2);
constexpr Duration beginLifetime = std::chrono::seconds(10);
/// The number of instances that may begin a trial grows with each step after it is due: one that
/// has the only requests that tell the parts apart has to wait for a few steps, but not all of a
/// large fleet begin one before they can hear of each other's.
constexpr Duration turnStep = std::chrono::milliseconds(250);
constexpr std::int64_t maxSteps = 6;
constexpr unsigned growthOfStep = 4;
constexpr std::size_t maxTrialPartsInDigest = 32;

} // namespace

bool QuarantineTrials::isRunning(const Trial &trial, std::span<const PartHash> parts, Instant now)
{
    return now < trial.resultDueAt && std::ranges::any_of(parts, [&](PartHash part) {
               return std::ranges::find(trial.parts, part) != trial.parts.end();
           });
}

bool QuarantineTrials::mayBegin(std::span<const PartHash> parts, Instant trialAt, Instant now) const
{
    const auto isInProgress = [&](const Trial &trial) { return isRunning(trial, parts, now); };
    for (const auto &[request, trial] : m_own) {
        if (isInProgress(trial))
            return false;
    }
    for (const auto &[instance, trials] : m_peerTrials) {
        if (std::ranges::any_of(trials, isInProgress))
            return false;
    }
    unsigned count = 1;
    for (std::int64_t steps = std::min((now - trialAt) / turnStep, maxSteps); steps > 0; --steps)
        count *= growthOfStep;
    return m_isChosen(std::ranges::min(parts), count, now);
}

void QuarantineTrials::begin(RequestNumber request, std::span<const PartHash> parts, Instant now)
{
    m_own[request] = {.parts = {parts.begin(), parts.end()}, .resultDueAt = now + maxTrialTime};
    for (const PartHash part : parts)
        m_lastBegins[part] = now;
}

Instant QuarantineTrials::lastBeginOf(std::span<const PartHash> parts) const
{
    Instant last = Instant::min();
    for (const PartHash part : parts) {
        const auto entry = m_lastBegins.find(part);
        if (entry != m_lastBegins.end())
            last = std::max(last, entry->second);
    }
    return last;
}

void QuarantineTrials::applyPeerDigest(const Peer &peer)
{
    std::vector<Trial> trials;
    for (const Digest::PartTrial &trial : peer.digest.partTrials) {
        const Instant beganAt = peer.receivedAt - std::max(trial.age, Duration::zero());
        trials.push_back({.parts = {trial.part}, .resultDueAt = beganAt + maxTrialTime});
        Instant &lastBegin = m_lastBegins.try_emplace(trial.part, beganAt).first->second;
        lastBegin = std::max(lastBegin, beganAt);
    }
    if (trials.empty())
        m_peerTrials.erase(peer.digest.instance);
    else
        m_peerTrials[peer.digest.instance] = std::move(trials);
}

void QuarantineTrials::fillDigest(Digest &digest, Instant now) const
{
    for (const auto &[request, trial] : m_own) {
        for (const PartHash part : trial.parts) {
            if (isRunning(trial, trial.parts, now)
                && digest.partTrials.size() < maxTrialPartsInDigest)
                digest.partTrials.push_back(
                        {.part = part, .age = maxTrialTime - (trial.resultDueAt - now)});
        }
    }
}

void QuarantineTrials::expire(Instant now)
{
    std::erase_if(m_lastBegins,
                  [now](const auto &entry) { return entry.second + beginLifetime < now; });
    std::erase_if(m_peerTrials, [now](const auto &entry) {
        return std::ranges::none_of(entry.second, [now](const Trial &trial) {
            return isRunning(trial, trial.parts, now);
        });
    });
}

} // namespace monsoonsail
