#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "core/random_source.h"
#include "servers/allowance/sliding_sum.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"
#include "servers/site/account.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace monsoonsail {

/// How allowances are counted, over all entry instances together.
struct AllowanceRules
{
    /// Within any span of this length an account may use its rate times the span, and its burst.
    Duration window = std::chrono::seconds(8);
    /// By how much the use may exceed that, as a part of it and as an amount in its unit.
    double excess = 0;
    double slack = 0;
};

/// What is believed of an account's allowance, in its unit.
struct AllowanceState
{
    double limit = 0;         ///< Within any window; 0 for none.
    double used = 0;          ///< In the last window, by all instances, the next two included.
    double usedHere = 0;      ///< By this instance, not yet heard by the others.
    double reserved = 0;      ///< For peers that are silent.
    bool isWarmingUp = false; ///< Whether the demand on the other instances can't be known yet.
};

/// Keeps every client account within its allowance over all entry instances together, without a
/// message on the path of a request.
///
/// Every instance adds up what it has let through and, from digests, what the others have. Where
/// little is left, each instance lets through only its part of that, by how much is asked of it.
class AllowanceLedger
{
public:
    /// Amounts used by all instances in equal parts of the last window, the newest first.
    using RecentUse = std::map<AccountId, std::vector<double>>;

    AllowanceLedger(const AllowanceRules &rules, std::uint64_t seed);

    /// Takes effect with the next configure().
    void setRules(const AllowanceRules &rules) { m_rules = rules; }
    /// Takes over the allowances of a configuration.
    void configure(const std::vector<Account> &accounts, Instant now);
    /// Lets a request of this size through and counts it, or returns when a later try makes sense.
    std::optional<Instant> admit(const AccountId &account, double amount, Instant now);
    /// Returns what the decision on a request of this account is based on.
    AllowanceState state(const AccountId &account, Instant now) const;
    /// Takes back what a request was counted with that did not run.
    void refund(const AccountId &account, double amount, Instant now);

    /// Takes over what a peer has counted.
    void applyPeerDigest(const Peer &peer, Instant now);
    /// Reserves their part for peers that are silent but may still be serving. Called often.
    void updateReservations(const Mesh &mesh, Instant now);
    /// Returns the use of the accounts that have used much of their allowance.
    RecentUse recentHeavyUse(Instant now);
    /// Takes over the use before this process started. Accounts that are not listed used little.
    void restoreRecentUse(const RecentUse &uses, Instant recordedAt, Instant now);
    /// Returns the counts of this instance for a digest that is sent now: those of all accounts, or
    /// of those that have changed lately.
    std::vector<Digest::AccountUse> collectDigestUses(bool all);

private:
    /// Requests reach their endpoints a little later than they are let through.
    static constexpr Duration windowMargin = std::chrono::milliseconds(200);
    /// Time constants with which the demand of the past is forgotten: one for how it is spread over
    /// the instances, one that follows an account that suddenly asks for more.
    static constexpr double demandDecaySeconds = 2.0;

    /// What a peer has counted of an account.
    struct PeerUse
    {
        explicit PeerUse(Duration window)
            : reserved(window)
        { }

        double requested = 0;
        double admitted = 0;
        double demandPerSecond = 0; ///< Until `changedAt`.
        Instant changedAt;          ///< When the counts were last told.
        SlidingSum reserved;        ///< Counted on its behalf while it was silent.
    };
    struct PeerUses
    {
        std::string incarnation;
        /// Whether all of its accounts were told once; others have been used since, then.
        bool hasBaseline = false;
        Instant lastDigestAt;
        std::map<AccountHash, PeerUse> accounts;
    };
    struct Entry
    {
        Entry(AccountId name, Duration window, Duration hearing, Instant now);

        AccountId account;
        Allowance allowance;
        double limit = 0;     ///< Within any window; 0 for none.
        SlidingSum used;      ///< By all instances.
        SlidingSum usedHere;  ///< By this instance since the others may have heard of it.
        double requested = 0; ///< Since the start.
        double admitted = 0;
        double reportedRequested = 0; ///< Part of `asked` that digests have told.
        double reportedAdmitted = 0;
        unsigned reportsLeft = 0; ///< Digests that are still to tell the counts.
        double recentDemand = 0;  ///< Told of this instance; decays over seconds.
        double surgeDemand = 0;   ///< Of all instances; decays quickly.
        double recentPeerDemand = 0;
        Instant decayedAt;
        Instant lastDrawAt; ///< When a large request was last let through, or not, by chance.
    };

    void advance(Entry &entry, Instant now) const;
    /// Counts `amounts`, in equal parts of a window that ended at `end`.
    void addWindowUse(Entry &entry, const std::vector<double> &amounts, Instant end) const;
    void recordPeerUse(PeerUses &peer, const Digest::AccountUse &use, bool isNew, Instant now);
    static void releaseReservation(Entry &entry, PeerUse &use, Instant now);
    void releaseUnlisted(PeerUses &peer, std::span<const Digest::AccountUse> listed, Instant now);
    PeerUse &peerUseOf(PeerUses &peer, AccountHash account);
    void reserveForSilentPeers(AccountHash account, Entry &entry,
                               const std::vector<const Peer *> &silent, double seconds,
                               Instant now);
    std::vector<double> usedBeforeStart(const AccountId &account, const Entry &entry) const;
    /// Whether the demand on the other instances can't be known yet.
    bool isWarmingUp(Instant now) const;
    bool isWithinShare(Entry &entry, double left, double amount, Instant now);
    double maxDemandPerSecond(const Entry &entry) const;
    double surgeDecaySeconds() const;

    AllowanceRules m_rules;
    RandomSource m_random;
    std::map<AccountHash, Entry> m_entries;
    std::map<std::string, PeerUses> m_peers; ///< By instance.
    std::set<std::string> m_silentPeers;     ///< By the last updateReservations().
    /// Until then more peers are or were missing than datagrams get lost.
    Instant m_peersMissingUntil;
    std::size_t m_meshSize = 1;             ///< Instances that exchange digests.
    std::optional<RecentUse> m_restoredUse; ///< Use before the start, if it is known.
    Instant m_restoredUseAt;                ///< When that use was recorded.
    unsigned m_sharingInstances = 1;
    std::optional<Instant> m_startedAt; ///< First use of the ledger.
    Instant m_reservationsUpdatedAt;
};

} // namespace monsoonsail
