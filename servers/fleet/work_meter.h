#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"

#include <map>
#include <string>
#include <vector>

namespace monsoonsail {

/// Utilization that the number of engines is planned for.
struct FleetPolicy
{
    /// Fraction of the time that engines work; a higher one delays first tokens and events.
    double engineUse = 0.35;
    /// The same for engines on demand, which cost several times as much as reclaimable ones.
    double onDemandUse = 0.5;
    double slotUse = 0.7; ///< Fraction of the batch slots that are taken.
};

/// How many engines the load of a service needs.
struct EnginesNeeded
{
    double reclaimable = 0; ///< While reclaimable engines are available.
    double minimum = 0;     ///< Of both markets; below it engines on demand are worth their price.
};

/// Measures the work that all entry instances together send to the engines of each service.
class WorkMeter
{
public:
    explicit WorkMeter(const FleetPolicy &policy)
        : m_policy(policy)
    { }

    /// Records prompt tokens that an engine has to read.
    void recordPromptTokens(const ServiceId &service, double promptTokens);
    /// Records tokens that an engine has produced.
    void recordOutputTokens(const ServiceId &service, double outputTokens);
    void applyPeerDigest(const Peer &peer);
    /// Records the number of requests of all entry instances that run on the engines of a service.
    /// `slotsPerEngine` is the number of batch slots of one engine.
    void recordRunningRequests(const ServiceId &service, double requests, unsigned slotsPerEngine);
    /// Updates the averages. Called several times a second.
    void measure(Instant now);

    /// Returns how many engines the recent work of each service needs. Services are left out until
    /// their work has been measured for a few seconds.
    std::map<ServiceHash, EnginesNeeded> enginesNeeded() const;
    /// Returns the counts of this instance for its digest.
    std::vector<Digest::ServiceWork> ownWork() const;

private:
    struct Work
    {
        double promptTokens = 0;
        double outputTokens = 0;
    };
    struct Meter
    {
        Work own;                   ///< Of this instance, since its start.
        Work peers;                 ///< Of all peers, since their first digest.
        double lastBusyMs = 0;      ///< Engine time of all work at the last measurement.
        double shortAverage = 0;    ///< Busy engines, averaged over seconds.
        double longAverage = 0;     ///< Busy engines, averaged over tens of seconds.
        double slotEngines = 0;     ///< Engines that the running requests fill, averaged.
        double measuredSeconds = 0; ///< Since its first work.
    };

    /// Work reported by a peer.
    struct PeerWork
    {
        std::string incarnation;
        Instant receivedAt;
        std::map<ServiceHash, Work> services; ///< Since its start.
    };

    static double busyMs(const Meter &meter);

    const FleetPolicy m_policy;
    std::map<ServiceHash, Meter> m_meters;
    std::map<std::string, PeerWork> m_peers; ///< By name of the instance.
    Instant m_measuredAt = Instant::min();
};

} // namespace monsoonsail
