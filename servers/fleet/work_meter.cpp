#include "servers/fleet/work_meter.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Engine time of a prompt token and of an output token, typical of current engines. An engine
/// produces a token for each of its running requests in one step, so output takes little time.
constexpr double msPerPromptToken = 1.0 / 60;
constexpr double msPerOutputToken = 0.1;

/// Time constants of the averages.
constexpr double shortAverageSeconds = 2;
constexpr double longAverageSeconds = 20;
/// With less, the first requests could be taken for the normal load.
constexpr double minMeasuredSeconds = 3;
/// A peer without a digest for this long is removed; if it returns, it counts as a new one.
constexpr Duration peerLifetime = std::chrono::seconds(60);
/// Weight of the newest count of running requests in the average; there are a few counts a second.
constexpr double newSlotsWeight = 0.1;

} // namespace

void WorkMeter::recordPromptTokens(const ServiceId &service, double promptTokens)
{
    m_meters[service].own.promptTokens += promptTokens;
}

void WorkMeter::recordOutputTokens(const ServiceId &service, double outputTokens)
{
    m_meters[service].own.outputTokens += outputTokens;
}

void WorkMeter::applyPeerDigest(const Peer &peer)
{
    PeerWork &known = m_peers[peer.digest.instance];
    if (known.incarnation != peer.digest.incarnation) {
        known.incarnation = peer.digest.incarnation;
        known.services.clear();
    }
    known.receivedAt = peer.receivedAt;
    for (const Digest::ServiceWork &work : peer.digest.serviceWork) {
        const Work reported{.promptTokens = work.promptTokens, .outputTokens = work.outputTokens};
        // Work of a peer before its first digest is not recent.
        const auto [entry, isNew] = known.services.try_emplace(work.service, reported);
        Work &total = m_meters[work.service].peers;
        total.promptTokens += reported.promptTokens - entry->second.promptTokens;
        total.outputTokens += reported.outputTokens - entry->second.outputTokens;
        entry->second = reported;
    }
}

void WorkMeter::measure(Instant now)
{
    const bool isFirst = m_measuredAt == Instant::min();
    const double seconds = isFirst ? 0 : toSeconds(now - m_measuredAt);
    m_measuredAt = now;
    if (seconds <= 0)
        return;
    std::erase_if(m_peers,
                  [now](const auto &peer) { return peer.second.receivedAt + peerLifetime < now; });
    for (auto &[service, meter] : m_meters) {
        const double total = busyMs(meter);
        const double engines = (total - meter.lastBusyMs) / 1000 / seconds;
        meter.lastBusyMs = total;
        if (total > 0)
            meter.measuredSeconds += seconds;
        meter.shortAverage +=
                (engines - meter.shortAverage) * (1 - std::exp(-seconds / shortAverageSeconds));
        meter.longAverage +=
                (engines - meter.longAverage) * (1 - std::exp(-seconds / longAverageSeconds));
    }
}

void WorkMeter::recordRunningRequests(const ServiceId &service, double requests,
                                      unsigned slotsPerEngine)
{
    Meter &meter = m_meters[service];
    meter.slotEngines +=
            newSlotsWeight * (requests / std::max(1U, slotsPerEngine) - meter.slotEngines);
}

std::map<ServiceHash, EnginesNeeded> WorkMeter::enginesNeeded() const
{
    std::map<ServiceHash, EnginesNeeded> needed;
    for (const auto &[service, meter] : m_meters) {
        if (meter.measuredSeconds < minMeasuredSeconds)
            continue;
        const double busyEngines = std::max(meter.shortAverage, meter.longAverage);
        const double enginesForSlots = meter.slotEngines / m_policy.slotUse;
        needed[service] = {
                .reclaimable = std::max(busyEngines / m_policy.engineUse, enginesForSlots),
                .minimum = std::max(busyEngines / m_policy.onDemandUse, enginesForSlots)};
    }
    return needed;
}

std::vector<Digest::ServiceWork> WorkMeter::ownWork() const
{
    std::vector<Digest::ServiceWork> work;
    for (const auto &[service, meter] : m_meters) {
        work.push_back({.service = service,
                        .promptTokens = meter.own.promptTokens,
                        .outputTokens = meter.own.outputTokens});
    }
    return work;
}

double WorkMeter::busyMs(const Meter &meter)
{
    return (meter.own.promptTokens + meter.peers.promptTokens) * msPerPromptToken
            + (meter.own.outputTokens + meter.peers.outputTokens) * msPerOutputToken;
}

} // namespace monsoonsail
