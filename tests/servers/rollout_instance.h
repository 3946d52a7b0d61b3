#pragma once

#include "servers/rollout/rollout_evidence.h"
#include "servers/rollout/rollout_traffic.h"
#include "tests/servers/recording_log.h"
#include "tests/servers/recording_metrics.h"

#include <chrono>
#include <string>
#include <vector>

namespace monsoonsail {

/// Endpoints of a service "flags", in versions.
class VersionedEndpoints
{
public:
    void add(const std::string &software, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            const std::string name = software + "-" + std::to_string(number);
            m_endpoints.push_back({.id = EndpointId(name + "/1"),
                                   .listing = {.instance = name,
                                               .service = ServiceId("flags"),
                                               .software = SoftwareVersion(software)}});
        }
    }
    /// Returns the endpoints, all free.
    std::vector<RolloutCandidate> candidates() const
    {
        std::vector<RolloutCandidate> candidates;
        for (const Endpoint &endpoint : m_endpoints)
            candidates.push_back({.endpoint = &endpoint, .isFree = true});
        return candidates;
    }

private:
    std::vector<Endpoint> m_endpoints;
};

/// The traffic and evidence of one instance for which roll-outs are enabled with a share of 0.1.
/// All endpoints of a VersionedEndpoints that it has seen are ordinary.
struct RolloutInstance
{
    explicit RolloutInstance(std::uint64_t seed)
        : traffic(log, metrics, seed)
        , evidence(traffic)
    {
        traffic.setExposureShare(0.1);
    }
    RolloutInstance(const RolloutInstance &) = delete;
    RolloutInstance &operator=(const RolloutInstance &) = delete;

    void observe(const std::vector<std::string> &versions, Instant now)
    {
        EndpointRegistry registry;
        for (const std::string &version : versions)
            registry.applyListing({.instance = version,
                                   .startedMs = 1,
                                   .sequence = 1,
                                   .service = ServiceId("flags"),
                                   .software = SoftwareVersion(version)},
                                  now);
        traffic.observe(registry, now);
    }

    RecordingLog log;
    RecordingMetrics metrics;
    RolloutTraffic traffic;
    RolloutEvidence evidence;
};

/// The roll-out of "v2" for the service "flags", from "v1".
inline RolloutState rolloutState(RolloutPhase phase, LogOffset order = 7, std::uint32_t change = 0)
{
    const Instant orderedAt = instantFromMicroseconds(1'000'000'000);
    return {.service = ServiceId("flags"),
            .target = SoftwareVersion("v2"),
            .phase = phase,
            .order = order,
            .change = change,
            .orderedAt = orderedAt,
            .dueAt = orderedAt + std::chrono::seconds(12),
            .oldVersions = {SoftwareVersion("v1")}};
}

} // namespace monsoonsail
