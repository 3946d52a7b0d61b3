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

/// How busy engines are planned to be.
struct FleetPolicy
{
    /// Part of the time that engines work; more delays first tokens and events.
    double engineUse = 0.35;
    /// The same for engines on demand, which cost several times as much.
    double onDemandUse = 0.5;
    double slotUse = 0.7; ///< Part of the batch slots that are taken.
};

/// How many engines the load of a service needs.
struct EnginesNeeded
{
    double reclaimable = 0; ///< As long as reclaimable ones are to be had.
    double minimum = 0;     ///< Of both markets; below it engines on demand are worth their price.
};

/// Measures how much work all entry instances together give to the engines of each service.
class WorkMeter
{
public:
    explicit WorkMeter(const FleetPolicy &policy)
        : m_policy(policy)
    { }

    /// Told of prompt tokens that an engine has to read.
    void recordPromptTokens(const ServiceId &service, double promptTokens);
    /// Told of tokens that an engine has made.
    void recordOutputTokens(const ServiceId &service, double outputTokens);
    void recordDigest(const Peer &peer);
    /// Told of the requests that run on the engines of a service, by all instances, and of the
    /// batch slots of one engine.
    void recordRunningRequests(const ServiceId &service, double requests, unsigned slotsPerEngine);
    /// Takes a measurement. Called a few times a second.
    void measure(Instant now);

    /// Returns how many engines the recent work of each service needs. A service is left out until
    /// its work has been measured for a while.
    std::map<ServiceHash, EnginesNeeded> enginesNeeded() const;
    /// Returns the own counts for the digest.
    std::vector<Digest::ServiceWork> ownWork() const;

private:
    struct Work
    {
        double promptTokens = 0;
        double outputTokens = 0;
    };
    struct Meter
    {
        Work own;                   ///< Since the start.
        Work peers;                 ///< Of all peers since they were first heard.
        double lastBusyMs = 0;      ///< Engine time of all work at the last measurement.
        double shortAverage = 0;    ///< Engines, by what happened in the last seconds.
        double longAverage = 0;     ///< Engines, by what happened in the last minute.
        double slotEngines = 0;     ///< Engines whose batch slots are taken.
        double measuredSeconds = 0; ///< Since its first work.
    };

    /// What a peer has told of its work.
    struct PeerWork
    {
        std::string incarnation;
        Instant receivedAt;
        std::map<ServiceHash, Work> services; ///< Since its start.
    };

    static double busyMs(const Meter &meter);

    const FleetPolicy m_policy;
    std::map<ServiceHash, Meter> m_meters;
    std::map<std::string, PeerWork> m_peers; ///< By instance.
    Instant m_measuredAt = Instant::min();
};

} // namespace monsoonsail
