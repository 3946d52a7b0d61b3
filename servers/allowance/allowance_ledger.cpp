#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonsail {

namespace {

/// Part of the tolerance that is handed out. Instances learn late of each other's use, so a request
/// is refused only if it is beyond the allowance for certain; the rest of the tolerance takes up
/// what several instances let through at once.
constexpr double admittedToleranceFraction = 0.5;
constexpr double minSurgeDecaySeconds = 0.4;
/// What is asked for may grow by so much before the others hear of it.
constexpr double maxSurgeFactor = 3;
/// The same for what has been asked for within the last fraction of a second.
constexpr double surgeGrowthFactor = 1.3;
/// Part of the limit that counts as much. A process that starts takes the other accounts to have
/// used so much just now, which leaves them more than they use as a rule.
constexpr double heavyUseFraction = 0.25;
/// An account may use so many times what it used in the last part of the window before its use is
/// recorded again.
constexpr double unrecordedSurgeFactor = 2;
/// Part of the limit that a process assumes to have been used evenly before its start if it can't
/// know. What becomes free each second is still more than most accounts ask for.
constexpr double unknownUseFraction = 0.95;
/// Time from the start until digests tell how much is asked of the others.
constexpr Duration warmUpTime = std::chrono::seconds(3);
/// Parts of a window by which the use before a start is told.
constexpr std::size_t recentUseBins = 8;
/// Where digests are older, a flood could use up an allowance before anybody hears of it.
constexpr Duration maxDigestAgeForRandomAdmission = std::chrono::seconds(1);
/// Digests that tell a change, since datagrams get lost. Complete digests make up for the rest.
constexpr unsigned digestsPerChange = 3;
/// Shortest and longest time after which a refused request is told to come back.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::seconds(5);

} // namespace

AllowanceLedger::Entry::Entry(AccountId name, Duration window, Duration hearing, Instant now)
    : account(std::move(name))
    , used(window + windowMargin)
    , usedHere(hearing)
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
        if (isNew)
            addWindowUse(entry, usedBeforeStart(account.name, entry),
                         m_restoredUse ? m_restoredUseAt : now);
    }
}

std::vector<double> AllowanceLedger::usedBeforeStart(const AccountId &account,
                                                     const Entry &entry) const
{
    const auto evenly = [&entry](double part) {
        return std::vector<double>(recentUseBins, entry.limit * part / recentUseBins);
    };
    if (!m_restoredUse)
        return evenly(unknownUseFraction);
    const auto known = m_restoredUse->find(account);
    return known == m_restoredUse->end() ? std::vector<double>{entry.limit * heavyUseFraction}
                                         : known->second;
}

void AllowanceLedger::addWindowUse(Entry &entry, const std::vector<double> &amounts,
                                   Instant end) const
{
    const Duration length = m_rules.window / static_cast<std::int64_t>(amounts.size());
    for (std::size_t index = amounts.size(); index > 0; --index)
        entry.used.add(amounts.at(index - 1), end - length * static_cast<std::int64_t>(index - 1));
}

void AllowanceLedger::restoreRecentUse(const RecentUse &uses, Instant recordedAt, Instant now)
{
    // Entries were made with the assumption that nothing is known.
    for (auto &[key, entry] : m_entries) {
        std::vector<double> assumed = usedBeforeStart(entry.account, entry);
        std::ranges::for_each(assumed, [](double &amount) { amount = -amount; });
        addWindowUse(entry, assumed, *m_startedAt);
    }
    m_restoredUse = RecentUse();
    m_restoredUseAt = std::min(recordedAt, now);
    // A record that is older than a window tells nothing but that there was little use since.
    if (now - recordedAt <= m_rules.window)
        *m_restoredUse = uses;
    else
        m_restoredUseAt = now;
    for (auto &[key, entry] : m_entries) {
        std::vector<double> used = usedBeforeStart(entry.account, entry);
        addWindowUse(entry, used, m_restoredUseAt);
        // Nobody has recorded what was used since. It can't be more than was left.
        const double since = toSeconds(now - m_restoredUseAt) / toSeconds(m_rules.window);
        const double newest =
                unrecordedSurgeFactor * used.front() * static_cast<double>(used.size());
        const double left = std::max(0.0, entry.limit - entry.used.sum());
        entry.used.add(std::min(std::max(entry.limit, newest) * since, left), now);
    }
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

std::optional<Instant> AllowanceLedger::admit(const AccountId &account, double amount, Instant now)
{
    const auto position = m_entries.find(account);
    if (position == m_entries.end())
        return std::nullopt;
    Entry &entry = position->second;
    advance(entry, now);
    entry.requested += amount;
    entry.surgeDemand += amount;
    if (entry.limit > 0) {
        // A request that is larger than the limit goes through when nothing else has been used.
        const double counted = std::min(amount, entry.limit);
        const double left = entry.limit - entry.used.sum();
        if (counted > left || !isWithinShare(entry, left, counted, now)) {
            const Instant availableAt = entry.used.timeOfFallTo(entry.limit - counted, now);
            return std::clamp(availableAt, now + minRetryDelay, now + maxRetryDelay);
        }
    }
    entry.used.add(amount, now);
    entry.usedHere.add(amount, now);
    entry.admitted += amount;
    return std::nullopt;
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

bool AllowanceLedger::isWarmingUp(Instant now) const
{
    return !m_startedAt
            || now < *m_startedAt + std::max(warmUpTime, Mesh::maxPropagationTime(m_meshSize));
}

bool AllowanceLedger::isWithinShare(Entry &entry, double left, double amount, Instant now)
{
    const double demand = entry.recentDemand + entry.recentPeerDemand;
    const bool isDemandKnown = demand > 0 && !isWarmingUp(now);
    // What the others let through before they hear of this request can't be more than is asked.
    const Duration digestAge = Mesh::typicalAge(m_meshSize);
    const double unreportedDemand = maxDemandPerSecond(entry) * toSeconds(digestAge);
    const bool mayAdmitRandomly = isDemandKnown && m_peersMissingUntil <= now
            && digestAge <= maxDigestAgeForRandomAdmission;
    if (mayAdmitRandomly && left >= unreportedDemand)
        return true;
    const double equalShare = 1.0 / m_sharingInstances;
    const double share =
            isDemandKnown ? std::max(entry.recentDemand / demand, equalShare / 2) : equalShare;
    const double usableAmount = share * (left + entry.usedHere.sum()) - entry.usedHere.sum();
    if (amount <= usableAmount)
        return true;
    // Large requests get through by chance; otherwise small ones would use up every part. Where all
    // instances hear each other, as many get through as what is left allows for.
    if (mayAdmitRandomly)
        return m_random.fraction() * unreportedDemand < left;
    // Else each part is drawn for once, as its size allows.
    if (entry.lastDrawAt + Mesh::typicalPropagationTime(m_meshSize) > now)
        return false;
    entry.lastDrawAt = now;
    return m_random.fraction() * amount < usableAmount;
}

/// Returns the time constant of what has been asked for just now, in seconds. A digest tells what
/// was asked since the one before.
double AllowanceLedger::surgeDecaySeconds() const
{
    return std::max(minSurgeDecaySeconds, toSeconds(Mesh::typicalAge(m_meshSize)));
}

/// Returns what the account may be asking for by now, from what digests have told.
double AllowanceLedger::maxDemandPerSecond(const Entry &entry) const
{
    const double recentRate = (entry.recentDemand + entry.recentPeerDemand) / demandDecaySeconds;
    const double surgeRate = entry.surgeDemand / surgeDecaySeconds();
    // An account that already asks for several times its allowance hardly starts another flood.
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
        // What is asked here counts from now on for the spread, as it does with the others.
        // Counted at once, a surge would have every instance take itself for the busiest.
        entry.recentDemand += entry.requested - entry.reportedRequested;
        entry.reportedRequested = entry.requested;
        entry.reportedAdmitted = entry.admitted;
        if (entry.requested > 0 && (all || entry.reportsLeft > 0))
            uses.push_back(
                    {.account = account, .requested = entry.requested, .admitted = entry.admitted});
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
}

} // namespace monsoonsail
