#include "servers/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonsail {

namespace {

/// Part of the tolerance that is handed out. Instances learn late of each other's use, so a request
/// is refused only if it is beyond the allowance for certain; the rest of the tolerance takes up
/// what several instances let through at once.
constexpr double usedTolerance = 0.5;
constexpr double surgeSeconds = 0.4;
/// What is asked for may grow by so much before the others hear of it.
constexpr double surgeFactor = 3;
/// The same for what has been asked for within the last fraction of a second.
constexpr double newestFactor = 1.3;
/// Part of the limit that counts as much. A process that starts takes the other accounts to have
/// used so much just now, which leaves them more than they use as a rule.
constexpr double muchUsed = 0.25;
/// An account may use so many times what it used in the last part of the window before its use is
/// recorded again.
constexpr double unrecordedSurge = 2;
/// Part of the limit that a process assumes to have been used evenly before its start if it can't
/// know. What becomes free each second is still more than most accounts ask for.
constexpr double unknownUse = 0.95;
/// Time from the start until digests tell how much is asked of the others.
constexpr Duration youngTime = std::chrono::seconds(3);
/// Parts of a window by which the use before a start is told.
constexpr std::size_t windowParts = 8;
/// Where digests are older, a flood could use up an allowance before anybody hears of it.
constexpr Duration oldestThinned = std::chrono::seconds(1);
/// Digests that tell a change, since datagrams get lost. Complete digests make up for the rest.
constexpr unsigned tellingsOfChange = 3;
/// Shortest and longest time after which a refused request is told to come back.
constexpr Duration leastRetry = std::chrono::milliseconds(200);
constexpr Duration mostRetry = std::chrono::seconds(5);

} // namespace

AllowanceLedger::Entry::Entry(AccountId name, Duration window, Duration hearing, Instant now)
    : account(std::move(name))
    , used(window + windowReserve)
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
        const double bare = allowance.perSecond * toSeconds(m_rules.window) + allowance.burst;
        entry.limit = allowance.perSecond > 0
                ? bare * (1 + usedTolerance * m_rules.excess) + usedTolerance * m_rules.slack
                : 0;
        if (isNew)
            assumeUsed(entry, usedBeforeStart(account.name, entry),
                       m_recovered ? m_recoveredAt : now);
    }
}

std::vector<double> AllowanceLedger::usedBeforeStart(const AccountId &account,
                                                     const Entry &entry) const
{
    const auto evenly = [&entry](double part) {
        return std::vector<double>(windowParts, entry.limit * part / windowParts);
    };
    if (!m_recovered)
        return evenly(unknownUse);
    const auto known = m_recovered->find(account);
    return known == m_recovered->end() ? std::vector<double>{entry.limit * muchUsed}
                                       : known->second;
}

void AllowanceLedger::assumeUsed(Entry &entry, const std::vector<double> &amounts,
                                 Instant end) const
{
    const Duration length = m_rules.window / static_cast<std::int64_t>(amounts.size());
    for (std::size_t index = amounts.size(); index > 0; --index)
        entry.used.add(amounts.at(index - 1), end - length * static_cast<std::int64_t>(index - 1));
}

void AllowanceLedger::recovered(const Uses &uses, Instant writtenAt, Instant now)
{
    // Entries were made with the assumption that nothing is known.
    for (auto &[key, entry] : m_entries) {
        std::vector<double> assumed = usedBeforeStart(entry.account, entry);
        std::ranges::for_each(assumed, [](double &amount) { amount = -amount; });
        assumeUsed(entry, assumed, *m_startedAt);
    }
    m_recovered = Uses();
    m_recoveredAt = std::min(writtenAt, now);
    // A record that is older than a window tells nothing but that there was little use since.
    if (now - writtenAt <= m_rules.window)
        *m_recovered = uses;
    else
        m_recoveredAt = now;
    for (auto &[key, entry] : m_entries) {
        std::vector<double> used = usedBeforeStart(entry.account, entry);
        assumeUsed(entry, used, m_recoveredAt);
        // Nobody has recorded what was used since. It can't be more than was left.
        const double since = toSeconds(now - m_recoveredAt) / toSeconds(m_rules.window);
        const double newest = unrecordedSurge * used.front() * static_cast<double>(used.size());
        const double left = std::max(0.0, entry.limit - entry.used.sum());
        entry.used.add(std::min(std::max(entry.limit, newest) * since, left), now);
    }
}

AllowanceLedger::Uses AllowanceLedger::heavyUses(Instant now)
{
    Uses uses;
    for (auto &[key, entry] : m_entries) {
        advance(entry, now);
        if (entry.limit > 0 && entry.used.sum() > muchUsed * entry.limit)
            uses[entry.account] = entry.used.parts(windowParts, now);
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
    entry.asked += amount;
    entry.surgeAsked += amount;
    if (entry.limit > 0) {
        // A request that is larger than the limit goes through when nothing else has been used.
        const double counted = std::min(amount, entry.limit);
        const double left = entry.limit - entry.used.sum();
        if (counted > left || !isWithinPart(entry, left, counted, now)) {
            const Instant free = entry.used.fallsTo(entry.limit - counted, now);
            return std::clamp(free, now + leastRetry, now + mostRetry);
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
                         .isYoung = isYoung(now)};
    for (const auto &[name, peer] : m_peers) {
        const auto use = peer.accounts.find(account);
        if (use != peer.accounts.end())
            state.reserved += use->second.reserved.sum();
    }
    return state;
}

bool AllowanceLedger::isYoung(Instant now) const
{
    return !m_startedAt
            || now < *m_startedAt + std::max(youngTime, Mesh::maxPropagationTime(m_meshSize));
}

bool AllowanceLedger::isWithinPart(Entry &entry, double left, double amount, Instant now)
{
    const double asked = entry.recentAsked + entry.recentPeerAsked;
    const bool isKnown = asked > 0 && !isYoung(now);
    // What the others let through before they hear of this request can't be more than is asked.
    const Duration age = Mesh::typicalAge(m_meshSize);
    const double unheard = mostAskedPerSecond(entry) * toSeconds(age);
    const bool mayThin = isKnown && m_missingUntil <= now && age <= oldestThinned;
    if (mayThin && left >= unheard)
        return true;
    const double equalPart = 1.0 / m_instances;
    const double part = isKnown ? std::max(entry.recentAsked / asked, equalPart / 2) : equalPart;
    const double mayUse = part * (left + entry.usedHere.sum()) - entry.usedHere.sum();
    if (amount <= mayUse)
        return true;
    // Large requests get through by chance; otherwise small ones would use up every part. Where all
    // instances hear each other, as many get through as what is left allows for.
    if (mayThin)
        return m_random.unit() * unheard < left;
    // Else each part is drawn for once, as its size allows.
    if (entry.drawnAt + Mesh::typicalPropagationTime(m_meshSize) > now)
        return false;
    entry.drawnAt = now;
    return m_random.unit() * amount < mayUse;
}

/// Returns the time constant of what has been asked for just now, in seconds. A digest tells what
/// was asked since the one before.
double AllowanceLedger::surgeTime() const
{
    return std::max(surgeSeconds, toSeconds(Mesh::typicalAge(m_meshSize)));
}

/// Returns what the account may be asking for by now, from what digests have told.
double AllowanceLedger::mostAskedPerSecond(const Entry &entry) const
{
    const double usual = (entry.recentAsked + entry.recentPeerAsked) / demandSeconds;
    const double now = entry.surgeAsked / surgeTime();
    // An account that already asks for several times its allowance hardly starts another flood.
    const double allowed = entry.limit / toSeconds(m_rules.window);
    return std::max(newestFactor * now, surgeFactor * std::min(usual, allowed));
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

std::vector<Digest::AccountUse> AllowanceLedger::tellUses(bool all)
{
    std::vector<Digest::AccountUse> uses;
    for (auto &[account, entry] : m_entries) {
        if (entry.asked != entry.toldAsked || entry.admitted != entry.toldAdmitted)
            entry.tellings = tellingsOfChange;
        // What is asked here counts from now on for the spread, as it does with the others.
        // Counted at once, a surge would have every instance take itself for the busiest.
        entry.recentAsked += entry.asked - entry.toldAsked;
        entry.toldAsked = entry.asked;
        entry.toldAdmitted = entry.admitted;
        if (entry.asked > 0 && (all || entry.tellings > 0))
            uses.push_back(
                    {.account = account, .requested = entry.asked, .admitted = entry.admitted});
        entry.tellings -= std::min(entry.tellings, 1U);
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
    const double kept = std::exp(-seconds / demandSeconds);
    entry.recentAsked *= kept;
    entry.recentPeerAsked *= kept;
    entry.surgeAsked *= std::exp(-seconds / surgeTime());
}

} // namespace monsoonsail
