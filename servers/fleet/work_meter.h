#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"

#include <map>
#include <string>
#include <vector>

namespace monsoonsail {

/// Measures how much work all entry instances together give to the engines of each service.
class WorkMeter
{
public:
    /// Told of prompt tokens that an engine has to read.
    void placed(const ServiceId &service, double promptTokens);
    /// Told of tokens that an engine has made.
    void produced(const ServiceId &service, double outputTokens);
    void peerReported(const Peer &peer);
    /// Takes a measurement. Called a few times a second.
    void measure(Instant now);

    /// Returns how many engines the recent work of each service would keep busy all the time.
    std::map<ServiceId, double> enginesBusy() const;
    /// Returns the own counts for the digest.
    std::vector<Digest::ServiceWork> work() const;

private:
    struct Work
    {
        double promptTokens = 0;
        double outputTokens = 0;
    };
    struct Meter
    {
        Work own;                          ///< Since the start.
        std::map<std::string, Work> peers; ///< By incarnation, since its start.
        double lastBusyMs = 0;             ///< Engine time of all work at the last measurement.
        double fast = 0;                   ///< Engines, by what happened in the last seconds.
        double slow = 0;                   ///< Engines, by what happened in the last minute.
    };

    static double busyMs(const Meter &meter);

    std::map<ServiceId, Meter> m_meters;
    Instant m_measuredAt = Instant::min();
};

} // namespace monsoonsail
