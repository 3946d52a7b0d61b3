#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/mesh/mesh.h"
#include "servers/mesh/rate_shares.h"
#include "servers/serving/endpoint_limit_report.h"

#include <cstdint>
#include <map>
#include <optional>

namespace monsoonsail {

/// The request limits that endpoints name in their answers, and this instance's share of them. A
/// limit holds for all entry instances together, so they tell each other what they read.
class EndpointLimits
{
public:
    RateShares &shares() { return m_shares; }

    /// Applies what an answer says. Returns whether the limit has changed.
    bool record(const EndpointLimitReport &report);
    void applyPeerDigest(const Peer &peer);
    /// Adds what this instance has read in answers to its digest.
    void fillDigest(Digest &digest, Instant now) const;
    void remove(const EndpointId &endpoint) { m_limits.erase(endpoint); }
    /// Forgets what has not been confirmed for long. Called several times a second.
    void expire(Instant now);

    /// Whether this instance may send the endpoint another request now.
    bool mayUse(const EndpointId &endpoint, Instant now) const;
    /// Returns when this instance may next send the endpoint a request.
    Instant nextUseAt(const EndpointId &endpoint, Instant now) const;
    /// Counts a request that is sent to the endpoint, also beyond its limit.
    void recordUse(const EndpointId &endpoint, Instant now);
    std::size_t limitedCount() const;

private:
    struct Limit
    {
        std::optional<double> perSecond; ///< Empty if the endpoint has lifted its limit.
        Instant readAt;
        bool isOwn = false;           ///< Whether this instance has read it itself.
        std::int64_t turn = 0;        ///< Turn of the last use.
        std::uint32_t usesInTurn = 0; ///< Uses in that turn, and excess uses before it.
    };

    std::uint32_t shareOf(EndpointHash endpoint, const Limit &limit, std::int64_t turn) const;
    /// Returns the uses that count in `turn`: excess uses are paid for by later turns.
    std::uint32_t usesIn(EndpointHash endpoint, const Limit &limit, std::int64_t turn) const;
    const Limit *find(EndpointHash endpoint) const;

    RateShares m_shares;
    std::map<EndpointHash, Limit> m_limits;
};

} // namespace monsoonsail
