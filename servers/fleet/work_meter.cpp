#include "servers/fleet/work_meter.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Engine time of a prompt token and of an output token, in ms; those of today's engines. An engine
/// makes the tokens of all its running requests in one step, so output counts for little.
constexpr double msPerPromptToken = 1.0 / 60;
constexpr double msPerOutputToken = 0.1;

constexpr double fastSeconds = 2;
constexpr double slowSeconds = 20;

} // namespace

void WorkMeter::placed(const ServiceId &service, double promptTokens)
{
    m_meters[service].own.promptTokens += promptTokens;
}

void WorkMeter::produced(const ServiceId &service, double outputTokens)
{
    m_meters[service].own.outputTokens += outputTokens;
}

void WorkMeter::peerReported(const Peer &peer)
{
    for (const Digest::ServiceWork &work : peer.digest.work) {
        Meter &meter = m_meters[work.service];
        const auto [entry, isNew] = meter.peers.try_emplace(peer.digest.incarnation);
        // What a peer did before it was first heard is no recent work.
        if (isNew)
            meter.lastBusyMs += work.promptTokens * msPerPromptToken
                    + work.outputTokens * msPerOutputToken;
        entry->second = {.promptTokens = work.promptTokens, .outputTokens = work.outputTokens};
    }
}

void WorkMeter::measure(Instant now)
{
    const bool isFirst = m_measuredAt == Instant::min();
    const double seconds =
            isFirst ? 0 : std::chrono::duration<double>(now - m_measuredAt).count();
    m_measuredAt = now;
    if (seconds <= 0)
        return;
    for (auto &[service, meter] : m_meters) {
        const double total = busyMs(meter);
        const double engines = (total - meter.lastBusyMs) / 1000 / seconds;
        meter.lastBusyMs = total;
        meter.fast += (engines - meter.fast) * (1 - std::exp(-seconds / fastSeconds));
        meter.slow += (engines - meter.slow) * (1 - std::exp(-seconds / slowSeconds));
    }
}

std::map<ServiceId, double> WorkMeter::enginesBusy() const
{
    std::map<ServiceId, double> busy;
    for (const auto &[service, meter] : m_meters)
        busy[service] = std::max(meter.fast, meter.slow);
    return busy;
}

std::vector<Digest::ServiceWork> WorkMeter::work() const
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
    Work total = meter.own;
    for (const auto &[incarnation, work] : meter.peers) {
        total.promptTokens += work.promptTokens;
        total.outputTokens += work.outputTokens;
    }
    return total.promptTokens * msPerPromptToken + total.outputTokens * msPerOutputToken;
}

} // namespace monsoonsail
