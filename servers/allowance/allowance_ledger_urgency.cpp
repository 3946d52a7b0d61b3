#include "servers/allowance/allowance_ledger.h"

#include <algorithm>

// The part of the ledger that orders the requests of an account by their urgency.

namespace monsoonsail {

namespace {

/// Time for which an instance refuses less urgent requests of an account after it has refused a
/// more urgent one, whose caller tries again.
constexpr Duration urgentRetryTime = std::chrono::milliseconds(300);
/// Factor by which the demand may grow before the other instances learn of it.
constexpr double demandGrowthFactor = 1.3;
/// From this factor on, growth of the demand is no chance.
constexpr double minSurgeFactor = 2;
/// Shortest and longest time until the retry that is suggested for a refused request. The longest
/// one does not include the random part.
constexpr double minRetrySeconds = 0.2;
constexpr double maxRetrySeconds = 5;
constexpr double retrySpread = 0.5;

/// Returns what the sender of the record has requested at this urgency since its start.
double requestedAt(const std::vector<Digest::UrgencyUse> &uses, unsigned urgency)
{
    const auto use = std::ranges::find(uses, urgency, &Digest::UrgencyUse::urgency);
    return use == uses.end() ? 0 : use->requested;
}

} // namespace

std::optional<Instant> AllowanceLedger::refuseByUrgency(Entry &entry, double amount,
                                                        unsigned urgency, Instant now)
{
    // Where less urgent requests are refused first, a part of the tolerance makes up for what is
    // not known yet of their use.
    const double demand = entry.demand.rateBefore(urgency) + entry.demand.rateOf(urgency);
    const bool isLeastUrgent = entry.demand.totalRate() <= demand;
    const double limit = entry.limit + (isLeastUrgent ? 0 : entry.continuedExtra)
            - reservedForContinued(entry, now);
    const double surge = surgeFactor(entry);
    const AllowancePacing pacing =
            paceRequests(entry.used, limit, entry.demand, surge >= minSurgeFactor ? surge : 1,
                         urgency, m_rules.window, Mesh::typicalAge(m_meshSize), now);
    const double left = limit - pacing.reserve - entry.used.sum();
    const auto index = static_cast<std::ptrdiff_t>(UrgencyDemand::indexOf(urgency));
    const bool isLeftToMoreUrgent =
            std::any_of(entry.refusedAt.begin(), entry.refusedAt.begin() + index,
                        [now](Instant at) { return at + urgentRetryTime > now; });
    const bool isAdmitted = !isLeftToMoreUrgent && amount <= left
            && (!pacing.isPaced || m_random.fraction() < pacing.admittedFraction)
            && isWithinShare(entry, left, amount, maxAdmittedPerSecond(entry, pacing),
                             AdmissionPriority::New, now);
    if (isAdmitted)
        return std::nullopt;
    entry.refusedAt.at(UrgencyDemand::indexOf(urgency)) = now;
    return retryTime(entry, pacing, amount, urgency, now);
}

double AllowanceLedger::surgeFactor(const Entry &entry) const
{
    const double total = entry.demand.totalRate();
    return total > 0 ? std::max(1.0, entry.surgeDemand / surgeDecaySeconds() / total) : 1;
}

double AllowanceLedger::maxAdmittedPerSecond(const Entry &entry,
                                             const AllowancePacing &pacing) const
{
    // Less urgent requests are refused before these.
    const double total = entry.demand.totalRate();
    const double part = total > 0 ? pacing.demandUpToUrgency / total : 1;
    const double demand = maxDemandPerSecond(entry) * part;
    const double growth = std::max(demandGrowthFactor, surgeFactor(entry));
    // The other instances pace as well, by the demand that they know of. What they admit steadily
    // takes the place of earlier use that leaves the window meanwhile.
    if (pacing.isPaced)
        return std::min(demand, (growth - 1) * pacing.steadyRate);
    const bool isLeastUrgent = pacing.demandUpToUrgency >= total;
    return isLeastUrgent ? demand : std::min(demand, growth * pacing.demandUpToUrgency);
}

Instant AllowanceLedger::retryTime(const Entry &entry, const AllowancePacing &pacing, double amount,
                                   unsigned urgency, Instant now)
{
    // All callers that were refused lately try again; their turns come at the rate at which
    // requests of this urgency are admitted.
    const double demand = entry.demand.rateOf(urgency) + amount;
    double seconds = pacing.ratePerSecond > 0 ? std::max(0.0, demand / pacing.ratePerSecond - 1)
                                              : maxRetrySeconds;
    const Instant availableAt = entry.used.timeOfFallTo(entry.limit - pacing.reserve - amount, now);
    seconds = std::max(seconds, toSeconds(availableAt - now));
    seconds = std::clamp(seconds, minRetrySeconds, maxRetrySeconds);
    return now + fromSeconds(seconds * (1 + retrySpread * m_random.fraction()));
}

void AllowanceLedger::addPeerDemand(Entry &entry, PeerUse &known, const Digest::AccountUse &use)
{
    double unlisted = std::max(use.requested - known.requested, 0.0);
    for (const Digest::UrgencyUse &part : use.byUrgency) {
        const double added =
                std::max(part.requested - requestedAt(known.byUrgency, part.urgency), 0.0);
        entry.demand.add(part.urgency, std::min(added, unlisted));
        unlisted -= std::min(added, unlisted);
    }
    // The peer does not report urgencies.
    entry.demand.add(UrgencyDemand::urgencyCount - 1, unlisted);
    known.byUrgency = use.byUrgency;
}

std::vector<Digest::UrgencyUse> AllowanceLedger::demandByUrgency(const Entry &entry)
{
    std::vector<Digest::UrgencyUse> uses;
    for (unsigned urgency = 0; urgency < UrgencyDemand::urgencyCount; ++urgency) {
        const double requested = entry.requestedByUrgency.at(urgency);
        if (requested > 0)
            uses.push_back({.urgency = urgency, .requested = requested});
    }
    return uses;
}

} // namespace monsoonsail
