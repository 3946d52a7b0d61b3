#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "core/random_source.h"
#include "servers/allowance/account_rate.h"
#include "servers/allowance/admission_priority.h"
#include "servers/allowance/allowance_pacing.h"
#include "servers/allowance/sliding_sum.h"
#include "servers/allowance/urgency_demand.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"
#include "servers/site/account.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace monsoonsail {

/// Rules for counting allowances over all entry instances together.
struct AllowanceRules
{
    /// In any period of this length, an account may use its rate times the period plus its burst.
    Duration window = std::chrono::seconds(8);
    /// Tolerated use beyond that: a fraction of it, and an amount in the unit of the allowance.
    double excess = 0;
    double slack = 0;
    /// Whether less urgent requests of an account leave it a reserve for its more urgent ones, and
    /// its use is paced while it requests much more than it may use.
    bool keepsUrgent = false;
};

/// What an instance knows of an account's allowance, in the unit of the allowance.
struct AllowanceState
{
    double limit = 0; ///< For any window; 0 if unlimited.
    double used = 0;  ///< By all instances in the last window, including `usedHere` and `reserved`.
    double usedHere = 0; ///< By this instance, possibly not yet known to the others.
    double reserved = 0; ///< Counted on behalf of silent peers.
    /// Whether the instance has started too recently to know the demand on the others.
    bool isWarmingUp = false;
};

/// Keeps every client account within its allowance over all entry instances together, without
/// exchanging messages before a request is admitted.
///
/// Each instance sums up what it has admitted itself and what the others have admitted according to
/// their digests. Where little of an allowance is left, each instance admits only its share of the
/// rest, in proportion to the demand that it sees.
class AllowanceLedger
{
public:
    /// Amounts used by all instances, by account, in bins of equal length over the last window, the
    /// newest first.
    using RecentUse = std::map<AccountId, std::vector<double>>;

    /// Use before this process started that is assumed for accounts without a record of it.
    enum class UnlistedUse {
        Little, ///< There is a record, and it lists the accounts with much use.
        Spread, ///< Most of the allowance, evenly over the window.
        Full,   ///< The whole allowance, just before the start.
    };

    AllowanceLedger(const AllowanceRules &rules, std::uint64_t seed);

    /// Takes effect at the next configure().
    void setRules(const AllowanceRules &rules) { m_rules = rules; }
    /// Applies the allowances of a configuration.
    void configure(const std::vector<Account> &accounts, Instant now);
    bool hasAccounts() const { return !m_entries.empty(); }
    /// Admits a request of this size and counts it, or refuses it and returns when a retry makes
    /// sense. `urgency` is the priority of its route, 0 for the most urgent.
    std::optional<Instant> admit(const AccountId &account, double amount, Instant now,
                                 AdmissionPriority priority = AdmissionPriority::New,
                                 unsigned urgency = 0);
    /// Returns the values on which decisions about requests of this account are based.
    AllowanceState state(const AccountId &account, Instant now) const;
    /// Returns the recent demand of each account on all instances.
    std::vector<AccountRate> rates(Instant now);
    /// Returns the number of instances that exchange digests.
    std::size_t instanceCount() const { return m_meshSize; }
    /// Whether more peers are missing, or were in the last window, than lost datagrams explain.
    bool missesPeers(Instant now) const { return m_peersMissingUntil > now; }
    /// Subtracts the amount that was counted for an admitted request that did not run.
    void refund(const AccountId &account, double amount, Instant now);

    /// Applies the counts of a peer's newest digest.
    void applyPeerDigest(const Peer &peer, Instant now);
    /// Reserves a share of each allowance for peers that are silent but may still be serving. Call
    /// periodically.
    void updateReservations(const Mesh &mesh, Instant now);
    /// Returns the recent use of the accounts that have used much of their allowance.
    RecentUse recentHeavyUse(Instant now);
    /// Restores the use before this process started. Accounts that are not listed have used little.
    void restoreRecentUse(const RecentUse &uses, Instant recordedAt, Instant now);
    /// Assumes this use of every account before this process started, since there is no record.
    void assumeUse(UnlistedUse use);
    /// Returns the counts of this instance for a digest that is sent now: those of all accounts, or
    /// only those that have changed recently. Call once per digest.
    std::vector<Digest::AccountUse> collectDigestUses(bool all);

private:
    /// Added to the window, since requests reach their endpoints a little later than they are
    /// admitted.
    static constexpr Duration windowMargin = std::chrono::milliseconds(200);
    /// Time constant of the decaying demand from which the shares of the instances are computed.
    /// The demand of a surge decays with surgeDecaySeconds().
    static constexpr double demandDecaySeconds = 2.0;

    /// Counts of one account by one peer.
    struct PeerUse
    {
        explicit PeerUse(Duration window)
            : reserved(window)
        { }

        double requested = 0;
        double admitted = 0;
        std::vector<Digest::UrgencyUse> byUrgency; ///< Parts of `requested`.
        double demandPerSecond = 0;                ///< As of `changedAt`.
        Instant changedAt;                         ///< When a digest last reported the counts.
        SlidingSum reserved;                       ///< Counted on its behalf while it was silent.
    };
    /// Counts of one peer, from its digests.
    struct PeerState
    {
        std::string incarnation;
        /// Whether an account that a digest reports for the first time was first used after the
        /// previous digest. This holds after a complete digest, and if the peer had just started.
        bool hasBaseline = false;
        Instant lastDigestAt;
        std::map<AccountHash, PeerUse> accounts;
    };
    /// Counts of one account.
    struct Entry
    {
        Entry(AccountId name, Duration window, Duration propagationTime, Instant now);

        AccountId account;
        Allowance allowance;
        double limit = 0;       ///< For any window; 0 if unlimited.
        SlidingSum used;        ///< By all instances.
        SlidingSum beforeStart; ///< Part of `used` from before this process started.
        SlidingSum usedHere;  ///< By this instance, so recently that the others may not know of it.
        double requested = 0; ///< From this instance since it started.
        double admitted = 0;
        double reportedRequested = 0; ///< Part of `requested` that digests have reported.
        double reportedAdmitted = 0;
        unsigned reportsLeft = 0;    ///< Digests that still have to report the counts.
        double recentDemand = 0;     ///< Reported by this instance; decays with demandDecaySeconds.
        double surgeDemand = 0;      ///< On all instances; decays with surgeDecaySeconds().
        double recentPeerDemand = 0; ///< Reported by the peers; decays with demandDecaySeconds.
        Instant decayedAt;
        /// Part of the tolerance for requests to go on with an answer, and for those that are more
        /// urgent than others.
        double continuedExtra = 0;
        /// Amounts of requests to go on with an answer that were refused lately.
        double waitingContinued = 0;
        Instant waitingContinuedAt; ///< When that was brought up to date.
        Instant lastDrawAt;   ///< When a large request was last admitted or refused at random.
        UrgencyDemand demand; ///< On all instances; unused without AllowanceRules::keepsUrgent.
        /// Parts of `requested`, by urgency.
        std::array<double, UrgencyDemand::urgencyCount> requestedByUrgency{};
        /// When a request was last refused, by urgency.
        std::array<Instant, UrgencyDemand::urgencyCount> refusedAt{};
    };

    void advance(Entry &entry, Instant now) const;
    /// Counts what is known or assumed of the use before the start, in place of what was before.
    void countUseBeforeStart(Entry &entry) const;
    /// Returns that use in bins of equal length over a window, the newest first.
    std::vector<double> usedBeforeStart(const Entry &entry, bool isRecordUsable) const;
    void recordPeerUse(PeerState &peer, const Digest::AccountUse &use, bool isNew, Instant now);
    static void releaseReservation(Entry &entry, PeerUse &use, Instant now);
    void releaseUnlisted(PeerState &peer, std::span<const Digest::AccountUse> listed, Instant now);
    PeerUse &peerUseOf(PeerState &peer, AccountHash account);
    void reserveForSilentPeers(AccountHash account, Entry &entry,
                               const std::vector<const Peer *> &silent, double seconds,
                               Instant now);
    /// Whether this process has started too recently to know the demand on the other instances.
    bool isWarmingUp(Instant now) const;
    bool isWithinShare(Entry &entry, double left, double amount, double demandPerSecond,
                       AdmissionPriority priority, Instant now);
    /// Decides whether a request is admitted, regardless of its urgency. Returns when a retry makes
    /// sense if it is refused.
    std::optional<Instant> refuseByShare(Entry &entry, double amount, AdmissionPriority priority,
                                         Instant now);
    /// The same for a new request, by urgency.
    std::optional<Instant> refuseByUrgency(Entry &entry, double amount, unsigned urgency,
                                           Instant now);
    /// Returns an upper estimate of what all instances admit per second that is at least as urgent,
    /// beyond what leaves the window.
    double maxAdmittedPerSecond(const Entry &entry, const AllowancePacing &pacing) const;
    /// Returns by which factor the newest demand exceeds that of the last second.
    double surgeFactor(const Entry &entry) const;
    /// Returns a random time at which a request that is refused now has its turn.
    Instant retryTime(const Entry &entry, const AllowancePacing &pacing, double amount,
                      unsigned urgency, Instant now);
    /// Adds what a peer's digest reports of the demand to that of all instances.
    static void addPeerDemand(Entry &entry, PeerUse &known, const Digest::AccountUse &use);
    static std::vector<Digest::UrgencyUse> demandByUrgency(const Entry &entry);
    /// Returns the amount that is kept from new requests for answers that wait to go on.
    static double reservedForContinued(Entry &entry, Instant now);
    double maxDemandPerSecond(const Entry &entry) const;
    double surgeDecaySeconds() const;

    AllowanceRules m_rules;
    RandomSource m_random;
    std::map<AccountHash, Entry> m_entries;
    std::map<std::string, PeerState> m_peers; ///< By instance.
    std::set<std::string> m_silentPeers;      ///< As of the last updateReservations().
    /// Until then more peers are missing, or were in the last window, than lost datagrams explain.
    Instant m_peersMissingUntil;
    std::size_t m_meshSize = 1; ///< Instances that exchange digests.
    RecentUse m_restoredUse;    ///< Use before the start, as restored.
    Instant m_restoredUseAt;    ///< When that use was recorded.
    UnlistedUse m_unlistedUse = UnlistedUse::Spread;
    unsigned m_sharingInstances = 1;    ///< Instances that share the allowances.
    std::optional<Instant> m_startedAt; ///< Time of the first configure().
    Instant m_reservationsUpdatedAt;
};

} // namespace monsoonsail
