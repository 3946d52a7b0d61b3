#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonsail {

namespace {

/// Time constant of the amount that is kept, after refusals, for requests to go on with an answer,
/// and the fraction of the allowance that it is at most. A refusal loses what their caller has.
constexpr double continuedDecaySeconds = 1;
constexpr double maxContinuedFraction = 0.5;
/// Fraction of the tolerance that may be admitted. Instances learn of each other's use with a
/// delay, so a request is refused only if it certainly exceeds the allowance; the rest of the
/// tolerance absorbs what several instances admit at the same time.
constexpr double admittedToleranceFraction = 0.5;
/// The same for requests to go on with an answer, beyond the former. They are few.
constexpr double continuedToleranceFraction = 0.25;
constexpr double minSurgeDecaySeconds = 0.4;
/// Factor by which the demand may grow before the other instances learn of it.
constexpr double maxSurgeFactor = 3;
/// The same for the demand of the last fraction of a second.
constexpr double surgeGrowthFactor = 1.3;
/// Fraction of the limit above which an account's use is recorded. A process that restores a record
/// assumes that the accounts without one have just used this much, which usually leaves them more
/// than they request.
constexpr double heavyUseFraction = 0.25;
/// Factor by which an account's use may exceed that of the newest bin until it is recorded again.
constexpr double unrecordedSurgeFactor = 2;
/// Fraction of the limit that is assumed to have been used evenly before the start if nothing is
/// known of the use. The rest can be used at once, and nearly the allowed rate all the time.
constexpr double unknownUseFraction = 0.9;
/// Bins of a window of such use.
constexpr std::size_t unknownUseBins = 40;
/// The readers store a record twice a second while there is much use. If there is none for
/// this long, there was no use, or the store was away.
constexpr Duration maxUnrecordedTime = std::chrono::seconds(1);
/// Time from the start until digests have reported the demand on the other instances.
constexpr Duration warmUpTime = std::chrono::seconds(3);
/// Bins of a window in a record of recent use.
constexpr std::size_t recentUseBins = 8;
/// With older digests, a flood could use up an allowance before any other instance learns of it.
constexpr Duration maxUsableDigestAge = std::chrono::seconds(1);
/// Digests that report a changed count, since datagrams get lost. Complete digests correct what is
/// still missing.
constexpr unsigned digestsPerChange = 3;
/// Shortest and longest time until the retry that is suggested for a refused request.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::seconds(5);

} // namespace

AllowanceLedger::Entry::Entry(AccountId name, Duration window, Duration propagationTime,
                              Instant now)
    : account(std::move(name))
    , used(window + windowMargin)
    , beforeStart(window + windowMargin)
    , usedHere(propagationTime)
    , decayedAt(now)
{ }

AllowanceLedger::AllowanceLedger(const AllowanceRules &rules, std::uint64_t seed)
    : m_rules(rules)
    , m_random(seed)
{ }

void AllowanceLedger::configure(const std::vector<Account> &accounts, Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    for (const Account &account : accounts) {
        const auto [position, isNew] =
                m_entries.try_emplace(account.name, account.name, m_rules.window,
                                      Mesh::typicalPropagationTime(m_meshSize), now);
        Entry &entry = position->second;
        const Allowance &allowance = account.allowance;
        entry.allowance = allowance;
        const double nominalLimit =
                allowance.perSecond * toSeconds(m_rules.window) + allowance.burst;
        entry.limit = allowance.perSecond > 0
                ? nominalLimit * (1 + admittedToleranceFraction * m_rules.excess)
                        + admittedToleranceFraction * m_rules.slack
                : 0;
        entry.continuedExtra =
                continuedToleranceFraction * (nominalLimit * m_rules.excess + m_rules.slack);
        if (isNew)
            countUseBeforeStart(entry);
    }
}

std::vector<double> AllowanceLedger::usedBeforeStart(const Entry &entry, bool isRecordUsable) const
{
    switch (m_unlistedUse) {
    case UnlistedUse::Spread:
        return std::vector<double>(unknownUseBins,
                                   entry.limit * unknownUseFraction / unknownUseBins);
    case UnlistedUse::Full:
        return {entry.limit};
    case UnlistedUse::Little:
        break;
    }
    const auto known = m_restoredUse.find(entry.account);
    return isRecordUsable && known != m_restoredUse.end()
            ? known->second
            : std::vector<double>{entry.limit * heavyUseFraction};
}

void AllowanceLedger::countUseBeforeStart(Entry &entry) const
{
    const Instant start = *m_startedAt;
    entry.used.subtract(entry.beforeStart);
    entry.beforeStart.clear();
    const auto count = [&entry](double amount, Instant at) {
        entry.beforeStart.add(amount, at);
        entry.used.add(amount, at);
    };
    // A record older than a window only shows that no account has used much since.
    const bool isRecordUsable = start - m_restoredUseAt <= m_rules.window;
    const Instant end = isRecordUsable ? m_restoredUseAt : start;
    const std::vector<double> amounts = usedBeforeStart(entry, isRecordUsable);
    const Duration length = m_rules.window / static_cast<std::int64_t>(amounts.size());
    for (std::size_t index = amounts.size(); index > 0; --index) {
        const Instant binEnd = end - length * static_cast<std::int64_t>(index - 1);
        // Digests tell of the use after the start.
        const Duration before = std::clamp(start - (binEnd - length), Duration(), length);
        count(amounts.at(index - 1) * (toSeconds(before) / toSeconds(length)),
              std::min(binEnd, start));
    }
    entry.beforeStart.advance(start);
    // The use since the record is unknown, but can't exceed what was left.
    const Duration unrecordedTime = std::clamp(start - end, Duration(), maxUnrecordedTime);
    const double since = toSeconds(unrecordedTime) / toSeconds(m_rules.window);
    const double newest =
            unrecordedSurgeFactor * amounts.front() * static_cast<double>(amounts.size());
    const double left = std::max(0.0, entry.limit - entry.beforeStart.sum());
    count(std::min(std::max(entry.limit, newest) * since, left), end + unrecordedTime);
}

void AllowanceLedger::assumeUse(UnlistedUse use)
{
    m_restoredUse.clear();
    m_restoredUseAt = {};
    m_unlistedUse = use;
    for (auto &[key, entry] : m_entries)
        countUseBeforeStart(entry);
}

void AllowanceLedger::restoreRecentUse(const RecentUse &uses, Instant recordedAt, Instant now)
{
    m_restoredUse = uses;
    m_restoredUseAt = std::min(recordedAt, now);
    m_unlistedUse = UnlistedUse::Little;
    for (auto &[key, entry] : m_entries)
        countUseBeforeStart(entry);
}

AllowanceLedger::RecentUse AllowanceLedger::recentHeavyUse(Instant now)
{
    RecentUse uses;
    for (auto &[key, entry] : m_entries) {
        advance(entry, now);
        if (entry.limit > 0 && entry.used.sum() > heavyUseFraction * entry.limit)
            uses[entry.account] = entry.used.binnedAmounts(recentUseBins, now);
    }
    return uses;
}

std::optional<Instant> AllowanceLedger::admit(const AccountId &account, double amount, Instant now,
                                              AdmissionPriority priority, unsigned urgency)
{
    const auto position = m_entries.find(account);
    if (position == m_entries.end())
        return std::nullopt;
    Entry &entry = position->second;
    advance(entry, now);
    entry.requested += amount;
    entry.surgeDemand += amount;
    std::optional<Instant> retryAt;
    if (entry.limit > 0) {
        // A request larger than the limit is admitted if nothing else has been used.
        const double counted = std::min(amount, entry.limit);
        const bool isNew = priority == AdmissionPriority::New;
        retryAt = m_rules.keepsUrgent && isNew ? refuseByUrgency(entry, counted, urgency, now)
                                               : refuseByShare(entry, counted, priority, now);
    }
    if (m_rules.keepsUrgent) {
        entry.demand.add(urgency, amount);
        entry.requestedByUrgency.at(UrgencyDemand::indexOf(urgency)) += amount;
    }
    if (retryAt)
        return retryAt;
    entry.used.add(amount, now);
    entry.usedHere.add(amount, now);
    entry.admitted += amount;
    return std::nullopt;
}

std::optional<Instant> AllowanceLedger::refuseByShare(Entry &entry, double amount,
                                                      AdmissionPriority priority, Instant now)
{
    const bool isNew = priority == AdmissionPriority::New;
    const double reserved = reservedForContinued(entry, now);
    const double left = entry.limit - entry.used.sum() + (isNew ? -reserved : entry.continuedExtra);
    if (amount <= left
        && isWithinShare(entry, left, amount, maxDemandPerSecond(entry), priority, now))
        return std::nullopt;
    if (!isNew)
        entry.waitingContinued += amount;
    const Instant availableAt = entry.used.timeOfFallTo(entry.limit - amount, now);
    return std::clamp(availableAt, now + minRetryDelay, now + maxRetryDelay);
}

AllowanceState AllowanceLedger::state(const AccountId &account, Instant now) const
{
    const auto position = m_entries.find(account);
    if (position == m_entries.end())
        return {};
    const Entry &entry = position->second;
    AllowanceState state{.limit = entry.limit,
                         .used = entry.used.sum(),
                         .usedHere = entry.usedHere.sum(),
                         .isWarmingUp = isWarmingUp(now)};
    for (const auto &[name, peer] : m_peers) {
        const auto use = peer.accounts.find(account);
        if (use != peer.accounts.end())
            state.reserved += use->second.reserved.sum();
    }
    return state;
}

std::vector<AccountRate> AllowanceLedger::rates(Instant now)
{
    std::vector<AccountRate> rates;
    for (auto &[key, entry] : m_entries) {
        advance(entry, now);
        rates.push_back({.account = entry.account,
                         .requestedPerSecond =
                                 (entry.recentDemand + entry.recentPeerDemand) / demandDecaySeconds,
                         .allowedPerSecond = entry.allowance.perSecond});
    }
    return rates;
}

bool AllowanceLedger::isWarmingUp(Instant now) const
{
    return !m_startedAt
            || now < *m_startedAt + std::max(warmUpTime, Mesh::maxPropagationTime(m_meshSize));
}

double AllowanceLedger::reservedForContinued(Entry &entry, Instant now)
{
    const double passed = toSeconds(now - std::exchange(entry.waitingContinuedAt, now));
    entry.waitingContinued *= std::exp(-passed / continuedDecaySeconds);
    return std::min(entry.waitingContinued, maxContinuedFraction * entry.limit);
}

bool AllowanceLedger::isWithinShare(Entry &entry, double left, double amount,
                                    double demandPerSecond, AdmissionPriority priority, Instant now)
{
    const bool isNew = priority == AdmissionPriority::New;

    const double demand = entry.recentDemand + entry.recentPeerDemand;
    const bool isDemandKnown = demand > 0 && !isWarmingUp(now);
    // What the others admit before they learn of this request can't exceed the demand.
    const Duration digestAge = Mesh::typicalAge(m_meshSize);
    const double unreportedDemand = demandPerSecond * toSeconds(digestAge);
    const bool knowsCurrentDemand =
            isDemandKnown && m_peersMissingUntil <= now && digestAge <= maxUsableDigestAge;
    if (knowsCurrentDemand && left >= unreportedDemand)
        return true;
    const double equalShare = 1.0 / m_sharingInstances;
    const double share =
            isDemandKnown ? std::max(entry.recentDemand / demand, equalShare / 2) : equalShare;
    const double usableAmount = share * (left + entry.usedHere.sum()) - entry.usedHere.sum();
    if (amount <= usableAmount)
        return true;
    // Large requests are admitted at random; otherwise small ones would use up every share. If all
    // instances receive each other's digests, the probability is chosen so that what is left covers
    // the unreported demand.
    if (knowsCurrentDemand)
        return m_random.fraction() * unreportedDemand < left;
    // Otherwise each instance makes only one such decision per account while digests spread. The
    // probability is the fraction of the request that its share covers.
    // New requests leave it to those that wait to go on with an answer.
    const bool isLeftToOthers = isNew && entry.waitingContinued >= amount;
    if (isLeftToOthers || entry.lastDrawAt + Mesh::typicalPropagationTime(m_meshSize) > now)
        return false;
    entry.lastDrawAt = now;
    return m_random.fraction() * amount < usableAmount;
}

/// Returns the time constant of the demand of a surge, in seconds. It is not shorter than the age
/// of digests, since each reports the demand since the one before.
double AllowanceLedger::surgeDecaySeconds() const
{
    return std::max(minSurgeDecaySeconds, toSeconds(Mesh::typicalAge(m_meshSize)));
}

/// Returns an upper estimate of the account's current demand from the demand in digests.
double AllowanceLedger::maxDemandPerSecond(const Entry &entry) const
{
    const double recentRate = (entry.recentDemand + entry.recentPeerDemand) / demandDecaySeconds;
    const double surgeRate = entry.surgeDemand / surgeDecaySeconds();
    // The demand of an account that already requests several times its allowance rarely surges
    // again.
    const double allowedRate = entry.limit / toSeconds(m_rules.window);
    return std::max(surgeGrowthFactor * surgeRate,
                    maxSurgeFactor * std::min(recentRate, allowedRate));
}

void AllowanceLedger::refund(const AccountId &account, double amount, Instant now)
{
    const auto position = m_entries.find(account);
    if (position == m_entries.end())
        return;
    Entry &entry = position->second;
    entry.admitted -= amount;
    entry.used.add(-amount, now);
    entry.usedHere.add(-amount, now);
}

std::vector<Digest::AccountUse> AllowanceLedger::collectDigestUses(bool all)
{
    std::vector<Digest::AccountUse> uses;
    for (auto &[account, entry] : m_entries) {
        if (entry.requested != entry.reportedRequested || entry.admitted != entry.reportedAdmitted)
            entry.reportsLeft = digestsPerChange;
        // The demand on this instance counts for the shares only once it is reported, as it does on
        // the other instances. If it counted at once, every instance would consider itself the
        // busiest during a surge.
        entry.recentDemand += entry.requested - entry.reportedRequested;
        entry.reportedRequested = entry.requested;
        entry.reportedAdmitted = entry.admitted;
        if (entry.requested > 0 && (all || entry.reportsLeft > 0)) {
            uses.push_back({.account = account,
                            .requested = entry.requested,
                            .admitted = entry.admitted,
                            .byUrgency = demandByUrgency(entry)});
        }
        entry.reportsLeft -= std::min(entry.reportsLeft, 1U);
    }
    return uses;
}

void AllowanceLedger::advance(Entry &entry, Instant now) const
{
    entry.used.advance(now);
    entry.usedHere.advance(now);
    const double seconds = toSeconds(now - entry.decayedAt);
    if (seconds <= 0)
        return;
    entry.decayedAt = now;
    const double kept = std::exp(-seconds / demandDecaySeconds);
    entry.recentDemand *= kept;
    entry.recentPeerDemand *= kept;
    entry.surgeDemand *= std::exp(-seconds / surgeDecaySeconds());
    entry.demand.advance(now);
}

} // namespace monsoonsail
