#include "servers/rollout/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Events after which the time per event of a stream is counted; a slow version is noticed before
/// its streams end.
constexpr std::uint32_t pacedEvents = 16;
constexpr std::uint32_t minPacedEvents = 3;
/// A cancelled run counts from this multiple of its expected time on.
constexpr double slowRatio = 2;
/// The first bucket begins at 2^-firstBucketOctave, and an octave has two.
constexpr double firstBucketOctave = 3;
constexpr double bucketsPerOctave = 2;
constexpr std::size_t maxRecordsInDigest = 48;
/// Limits on what peers report of one service.
constexpr std::size_t maxPeers = 1024;
constexpr std::size_t maxRecordsOfPeer = 256;

std::size_t bucketOf(double ratio)
{
    const double bucket = std::floor((std::log2(ratio) + firstBucketOctave) * bucketsPerOctave);
    return static_cast<std::size_t>(
            std::clamp(bucket, 0.0, static_cast<double>(VersionEvidence::bucketCount - 1)));
}

bool isOpen(const RolloutState &state)
{
    return state.phase != RolloutPhase::Completed && state.phase != RolloutPhase::RolledBack;
}

} // namespace

RolloutEvidence::ServiceEvidence *RolloutEvidence::openEvidence(const ServiceId &service)
{
    const RolloutState *state = m_traffic.find(service);
    if (state == nullptr || !isOpen(*state))
        return nullptr;
    ServiceEvidence &evidence = m_services[service];
    if (evidence.order != state->order)
        evidence = {.order = state->order};
    return &evidence;
}

VersionEvidence *RolloutEvidence::ownCounts(const EvidenceRun &run)
{
    ServiceEvidence *evidence = openEvidence(run.service);
    if (evidence == nullptr)
        return nullptr;
    const auto [entry, isAdded] = evidence->own.try_emplace({run.software, run.routeHash});
    if (isAdded) {
        entry->second = {.service = run.service,
                         .software = run.software,
                         .routeHash = run.routeHash,
                         .order = evidence->order};
    }
    return &entry->second;
}

double RolloutEvidence::ratio(const EvidenceRun &run, ExpectedTimes::Kind kind, Duration time) const
{
    const auto times = m_expectedTimes.find(run.service);
    if (times == m_expectedTimes.end())
        return 0;
    const auto expected = times->second.expected(run.routeHash, kind, run.uncachedTokens);
    return expected ? toMs(time) / std::max(toMs(*expected), toMs(Duration(1))) : 0;
}

void RolloutEvidence::countTime(const EvidenceRun &run, ExpectedTimes::Kind kind, Duration time)
{
    const double relative = ratio(run, kind, time);
    VersionEvidence *counts = ownCounts(run);
    if (counts != nullptr && relative > 0)
        ++counts->times[bucketOf(relative)];
    // The target would change what it is compared with.
    const RolloutState *state = m_traffic.find(run.service);
    const bool isOnTrial = counts != nullptr && state->target == run.software;
    if (!isOnTrial)
        m_expectedTimes[run.service].record(run.routeHash, kind, run.uncachedTokens, time);
}

void RolloutEvidence::countPace(Run &run)
{
    if (run.events < minPacedEvents || std::exchange(run.isPaceCounted, true))
        return;
    countTime(run.start, ExpectedTimes::Kind::Event,
              (run.lastEventAt - run.firstEventAt) / (run.events - 1));
}

void RolloutEvidence::recordStart(AttemptNumber attempt, const EvidenceRun &run, Instant now)
{
    if (m_traffic.isEnabled())
        m_runs[attempt] = {.start = run, .startedAt = now};
}

void RolloutEvidence::recordEvents(AttemptNumber attempt, std::uint32_t events, Instant firstAt,
                                   Instant lastAt)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    Run &run = entry->second;
    if (run.events == 0) {
        run.firstEventAt = firstAt;
        countTime(run.start, ExpectedTimes::Kind::FirstEvent, firstAt - run.startedAt);
    }
    run.events += events;
    run.lastEventAt = lastAt;
    if (run.events >= pacedEvents)
        countPace(run);
}

void RolloutEvidence::recordAnswer(AttemptNumber attempt, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    Run &run = entry->second;
    if (run.start.isStream)
        countPace(run);
    else
        countTime(run.start, ExpectedTimes::Kind::Answer, now - run.startedAt);
    if (VersionEvidence *counts = ownCounts(run.start))
        ++counts->answers;
    m_runs.erase(entry);
}

void RolloutEvidence::recordFailure(AttemptNumber attempt)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    if (VersionEvidence *counts = ownCounts(entry->second.start)) {
        ++counts->answers;
        ++counts->failures;
    }
    m_runs.erase(entry);
}

void RolloutEvidence::recordCancel(AttemptNumber attempt, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    const Run &run = entry->second;
    ExpectedTimes::Kind kind = ExpectedTimes::Kind::Answer;
    Duration time = now - run.startedAt;
    if (run.events > 0) {
        kind = ExpectedTimes::Kind::Event;
        time = (now - run.firstEventAt) / run.events;
    } else if (run.start.isStream) {
        kind = ExpectedTimes::Kind::FirstEvent;
    }
    const double relative = ratio(run.start, kind, time);
    VersionEvidence *counts = ownCounts(run.start);
    if (counts != nullptr && relative >= slowRatio) {
        ++counts->answers;
        ++counts->times[bucketOf(relative)];
    }
    m_runs.erase(entry);
}

void RolloutEvidence::applyPeerEvidence(const std::string &instance, const std::string &incarnation,
                                        std::span<const VersionEvidence> evidence)
{
    if (evidence.empty())
        return;
    const std::vector<RolloutState> states = m_traffic.states();
    for (const VersionEvidence &reported : evidence) {
        const auto state = std::ranges::find_if(states, [&reported](const RolloutState &known) {
            return ServiceHash(known.service) == reported.service;
        });
        ServiceEvidence *known = state == states.end() ? nullptr : openEvidence(state->service);
        if (known == nullptr || known->order != reported.order)
            continue;
        const auto peer = std::pair(instance, incarnation);
        if (known->peers.size() >= maxPeers && !known->peers.contains(peer))
            continue;
        VersionCounts &counts = known->peers[peer];
        const auto key = std::pair(reported.software, reported.routeHash);
        if (counts.size() >= maxRecordsOfPeer && !counts.contains(key))
            continue;
        VersionEvidence &newest = counts[key];
        if (isNewerEvidence(reported, newest))
            newest = reported;
    }
}

std::vector<VersionEvidence> RolloutEvidence::nextDigestEvidence()
{
    std::vector<VersionEvidence> records;
    for (auto &[service, evidence] : m_services) {
        const ServiceEvidence *open = openEvidence(service);
        if (open == nullptr)
            continue;
        for (const auto &[key, counts] : open->own)
            records.push_back(counts);
    }
    if (records.size() <= maxRecordsInDigest)
        return records;
    const auto begin = static_cast<std::ptrdiff_t>(m_digestCursor % records.size());
    std::rotate(records.begin(), records.begin() + begin, records.end());
    m_digestCursor = (m_digestCursor + maxRecordsInDigest) % records.size();
    records.resize(maxRecordsInDigest);
    return records;
}

std::vector<VersionEvidence> RolloutEvidence::totals(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    const RolloutState *state = m_traffic.find(service);
    if (found == m_services.end() || state == nullptr || found->second.order != state->order)
        return {};
    VersionCounts sums = found->second.own;
    for (const auto &[peer, counts] : found->second.peers) {
        for (const auto &[key, part] : counts) {
            const auto [entry, isAdded] = sums.try_emplace(key, part);
            if (!isAdded)
                addEvidence(entry->second, part);
        }
    }
    std::vector<VersionEvidence> totals;
    totals.reserve(sums.size());
    for (const auto &[key, sum] : sums)
        totals.push_back(sum);
    return totals;
}

} // namespace monsoonsail
