#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/costs/remaining_work.h"
#include "servers/mesh/mesh.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Load that the other entry instances have placed on the endpoints, from their latest digests.
class PeerLoads
{
public:
    struct Load
    {
        std::uint64_t running = 0;
        std::uint64_t promptTokens = 0;
        ReportedWork work; ///< The same prompt tokens, and the remaining time of the runs.

        bool operator==(const Load &) const = default;
    };

    void applyPeerDigest(const Peer &peer);
    /// Removes the loads of peers that have sent no digest for a while. Called before each
    /// placement.
    void expire(Instant now);
    /// Returns the total load that all peers have placed on an endpoint.
    Load loadOf(EndpointHash endpoint) const;

private:
    struct PeerLoad
    {
        Instant receivedAt;
        Duration interval{}; ///< See Digest::interval.
        std::vector<Digest::EndpointLoad> loads;
    };

    std::map<std::string, PeerLoad> m_peers;
    std::unordered_map<EndpointHash, Load> m_totals;
    Instant m_expiredAt;

    void add(const PeerLoad &peer);
    void subtract(const PeerLoad &peer);
};

} // namespace monsoonsail
