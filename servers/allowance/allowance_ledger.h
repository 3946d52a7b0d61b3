#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"
#include "servers/site/account.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// By how much the accounts' use may exceed their allowances, over all entry instances together.
struct AllowanceTolerance
{
    double excess = 0; ///< Part of the allowance.
    double slack = 0;  ///< Amount, in the allowance's unit.
};

/// Keeps every client account within its allowance over all entry instances together, without a
/// message on the path of a request.
///
/// Every instance keeps the same token bucket and learns from digests what the others have let
/// through. While a bucket is nearly empty each instance hands out only its part of what flows in,
/// by how much is asked of it.
class AllowanceLedger
{
public:
    explicit AllowanceLedger(const AllowanceTolerance &tolerance)
        : m_tolerance(tolerance)
    { }

    /// Takes effect with the next configure().
    void setTolerance(const AllowanceTolerance &tolerance) { m_tolerance = tolerance; }
    /// Takes over the allowances of a configuration.
    void configure(const std::vector<Account> &accounts, Instant now);
    /// Lets a request of this size through and counts it, or returns when a later try makes sense.
    std::optional<Instant> admit(const AccountId &account, double amount, Instant now);
    /// Takes back what a request was counted with that did not run.
    void refund(const AccountId &account, double amount);

    /// Takes over what a peer has counted.
    void peerReported(const Peer &peer, Instant now);
    /// Reserves their share for peers that are silent but may still be serving.
    void reserve(const Mesh &mesh, Instant now);
    /// Returns the counts of this instance for its digest.
    std::vector<Digest::AccountUse> uses() const;

private:
    struct PeerUse
    {
        std::string incarnation;
        double asked = 0;
        double admitted = 0;
        double reserved = 0; ///< Taken from the bucket since the last digest.
    };
    struct Bucket
    {
        Allowance allowance;
        double level = 0;
        double share = 0; ///< Own part of a bucket that is nearly empty.
        Instant filledAt;
        double asked = 0;
        double admitted = 0;
        double recentAsked = 0; ///< Decays over seconds.
        double recentPeerAsked = 0;
        std::map<std::string, PeerUse> peers;
    };

    void fill(Bucket &bucket, Instant now) const;

    Allowance tolerated(const Allowance &allowance) const;

    AllowanceTolerance m_tolerance;
    std::map<AccountId, Bucket> m_buckets;
    unsigned m_instances = 1;
    Instant m_reservedAt;
};

} // namespace monsoonsail
