#include "tests/servers/allowance_fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Plays floods of an account with urgent requests of 800 tokens and less urgent ones of 12,000,
/// with AllowanceRules::keepsUrgent.
class AllowanceReserveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceReserveTest);
    CPPUNIT_TEST(urgentRequestsAreServedThroughAFlood);
    CPPUNIT_TEST(floodIsServedEvenly);
    CPPUNIT_TEST(longFloodGetsTheWholeAllowance);
    CPPUNIT_TEST(lessUrgentRequestsAreRefusedWhereUrgentOnesAre);
    CPPUNIT_TEST(accountWithinItsAllowanceIsNotRefused);
    CPPUNIT_TEST(floodKeepsToTheLimitWithLateAndLostDigests);
    CPPUNIT_TEST(floodKeepsToTheLimitIfAnInstanceIsKilled);
    CPPUNIT_TEST(retriesAreSpread);
    CPPUNIT_TEST(urgencyIsIgnoredByDefault);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double slack = 140'000;
    static constexpr Duration window = seconds(8);
    /// Part of the allowance that the account usually requests. Six times as much, it has used up
    /// the allowance in four seconds.
    static constexpr double usualFraction = 0.29;
    static constexpr std::array<std::size_t, 4> instanceCounts{5, 30, 71, 118};

    static AllowanceRules rules(bool keepsUrgent = true)
    {
        return {.window = window, .excess = 0.1, .slack = slack, .keepsUrgent = keepsUrgent};
    }
    /// Tokens per second of the account's allowance.
    static double rateFor(std::size_t instances) { return instances > 30 ? 1'500'000 : 300'000; }
    static double limitOf(double rate) { return rate * toSeconds(window) + rate; }
    static double tolerated(double rate) { return limitOf(rate) * 1.1 + slack; }

    /// `load` is a multiple of what the allowance lets through.
    static std::vector<AllowanceStream> load(double rate, double load)
    {
        const double tokens = load * limitOf(rate) / toSeconds(window);
        return {{.urgency = 0, .tokens = 860, .tokensPerSecond = 0.06 * tokens},
                {.urgency = 2, .tokens = 2'400, .tokensPerSecond = 0.2 * tokens},
                {.urgency = 5, .tokens = 12'000, .tokensPerSecond = 0.74 * tokens}};
    }

    static AllowanceFleet calmFleet(std::size_t instances, bool keepsUrgent = true)
    {
        const double rate = rateFor(instances);
        AllowanceFleet fleet(instances, rules(keepsUrgent), rate, rate);
        fleet.run(seconds(20), load(rate, usualFraction));
        return fleet;
    }

    static std::string name(std::size_t instances, double figure)
    {
        return std::to_string(instances) + " instances: " + std::to_string(figure);
    }

public:
    // Guards against a flood of long requests that leaves nothing for urgent ones: they were all
    // refused from the fourth second on.
    void urgentRequestsAreServedThroughAFlood()
    {
        for (const std::size_t instances : instanceCounts) {
            AllowanceFleet fleet = calmFleet(instances);
            const Instant begin = fleet.now();
            fleet.run(seconds(16), load(rateFor(instances), 6 * usualFraction));
            const double mostUrgent = fleet.admittedFraction(0, begin, fleet.now());
            CPPUNIT_ASSERT_MESSAGE(name(instances, mostUrgent), mostUrgent == 1);
            const double second = fleet.admittedFraction(2, begin, fleet.now());
            CPPUNIT_ASSERT_MESSAGE(name(instances, second), second >= 0.99);
            CPPUNIT_ASSERT_MESSAGE(name(instances, fleet.maxUsed()),
                                   fleet.maxUsed() <= tolerated(rateFor(instances)));
        }
    }

    // Guards against an allowance that is spent in the first seconds of a flood, after which the
    // account gets a quarter of its rate or nothing.
    void floodIsServedEvenly()
    {
        for (const std::size_t instances : instanceCounts) {
            AllowanceFleet fleet = calmFleet(instances);
            const double perSecond = limitOf(rateFor(instances)) / toSeconds(window);
            fleet.run(seconds(2), load(rateFor(instances), 6 * usualFraction));
            for (int second = 2; second < 20; ++second) {
                const Instant begin = fleet.now();
                fleet.run(seconds(1), load(rateFor(instances), 6 * usualFraction));
                const double used = fleet.admittedTokens(begin, fleet.now()) / perSecond;
                CPPUNIT_ASSERT_MESSAGE(name(instances, used) + " in second "
                                               + std::to_string(second),
                                       used >= 0.5);
            }
        }
    }

    // Guards against pacing that loses a part of the allowance.
    void longFloodGetsTheWholeAllowance()
    {
        for (const std::size_t instances : instanceCounts) {
            for (const double factor : {1.5, 2.0, 6.0}) {
                AllowanceFleet fleet = calmFleet(instances);
                const Instant begin = fleet.now();
                const double rate = rateFor(instances);
                fleet.run(seconds(120), load(rate, factor));
                const double allowed = limitOf(rate) * toSeconds(seconds(120)) / toSeconds(window);
                const double used = fleet.admittedTokens(begin, fleet.now()) / allowed;
                CPPUNIT_ASSERT_MESSAGE(name(instances, used) + " at " + std::to_string(factor),
                                       used >= 0.97);
                CPPUNIT_ASSERT_MESSAGE(name(instances, fleet.maxUsed()),
                                       fleet.maxUsed() <= tolerated(rate));
            }
        }
    }

    // Guards against urgent requests that are refused while less urgent ones are admitted: here
    // urgent requests alone exceed the allowance.
    void lessUrgentRequestsAreRefusedWhereUrgentOnesAre()
    {
        for (const std::size_t instances : instanceCounts) {
            AllowanceFleet fleet = calmFleet(instances);
            const double rate = rateFor(instances);
            const std::vector<AllowanceStream> streams{
                    {.urgency = 0, .tokens = 860, .tokensPerSecond = 1.5 * rate},
                    {.urgency = 5, .tokens = 12'000, .tokensPerSecond = 1.5 * rate}};
            fleet.run(seconds(9), streams);
            const Instant begin = fleet.now();
            fleet.run(seconds(16), streams);
            const double lessUrgent = fleet.admittedFraction(5, begin, fleet.now());
            CPPUNIT_ASSERT_MESSAGE(name(instances, lessUrgent), lessUrgent <= 0.01);
            const double urgent = fleet.admittedFraction(0, begin, fleet.now());
            CPPUNIT_ASSERT_MESSAGE(name(instances, urgent), urgent >= 0.5);
        }
    }

    // Guards against pacing of accounts that use much of their allowance, or have a burst that
    // fits.
    void accountWithinItsAllowanceIsNotRefused()
    {
        for (const std::size_t instances : {5U, 30U, 71U}) {
            const double rate = rateFor(instances);
            AllowanceFleet fleet = calmFleet(instances);
            const Instant begin = fleet.now();
            fleet.run(seconds(2), load(rate, 1.5));
            fleet.run(seconds(10), load(rate, usualFraction));
            fleet.run(seconds(30), load(rate, 0.75));
            const auto refusals = static_cast<double>(fleet.refusals(begin));
            CPPUNIT_ASSERT_MESSAGE(name(instances, refusals), refusals == 0);
        }
    }

    void floodKeepsToTheLimitWithLateAndLostDigests()
    {
        for (const std::size_t instances : instanceCounts) {
            for (const double factor : {6 * usualFraction, 6.0}) {
                AllowanceFleet fleet = calmFleet(instances);
                fleet.setLink(milliseconds(400), 0.2);
                fleet.run(seconds(20), load(rateFor(instances), factor));
                CPPUNIT_ASSERT_MESSAGE(name(instances, fleet.maxUsed()) + " at "
                                               + std::to_string(factor),
                                       fleet.maxUsed() <= tolerated(rateFor(instances)));
            }
        }
    }

    void floodKeepsToTheLimitIfAnInstanceIsKilled()
    {
        for (const std::size_t instances : instanceCounts) {
            AllowanceFleet fleet = calmFleet(instances);
            const double rate = rateFor(instances);
            fleet.run(milliseconds(1500), load(rate, 6 * usualFraction));
            fleet.kill(instances - 1);
            fleet.run(seconds(18), load(rate, 6 * usualFraction));
            CPPUNIT_ASSERT_MESSAGE(name(instances, fleet.maxUsed()),
                                   fleet.maxUsed() <= tolerated(rate));
        }
    }

    // Guards against callers that are all told to return at the same time.
    void retriesAreSpread()
    {
        AllowanceFleet fleet = calmFleet(30);
        fleet.run(seconds(6), load(rateFor(30), 6 * usualFraction));
        const Instant begin = fleet.now();
        fleet.run(milliseconds(200), load(rateFor(30), 6 * usualFraction));
        std::map<std::int64_t, int> returning;
        int refused = 0;
        for (const AllowanceOutcome &outcome : fleet.outcomes()) {
            if (outcome.at < begin || !outcome.retryAt)
                continue;
            ++refused;
            ++returning[(*outcome.retryAt - begin) / milliseconds(200)];
            CPPUNIT_ASSERT(*outcome.retryAt <= outcome.at + window);
        }
        CPPUNIT_ASSERT(refused >= 10);
        const int most = std::ranges::max_element(returning, {}, [](const auto &entry) {
                             return entry.second;
                         })->second;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " of " + std::to_string(refused),
                               most <= refused / 2);
    }

    // Guards against a change of behaviour, or of digests, where the setting is off.
    void urgencyIsIgnoredByDefault()
    {
        CPPUNIT_ASSERT(!AllowanceRules().keepsUrgent);
        const Account account{
                .name = AccountId("club"),
                .allowance = {.perSecond = 100'000, .burst = 100'000, .countsTokens = true}};
        AllowanceLedger plain(rules(false), 1);
        AllowanceLedger withUrgency(rules(false), 1);
        Instant now = instantFromMicroseconds(1'000'000'000);
        plain.configure({account}, now);
        withUrgency.configure({account}, now);
        for (unsigned number = 0; number < 500; ++number, now += milliseconds(20)) {
            CPPUNIT_ASSERT(plain.admit(account.name, 6'000, now)
                           == withUrgency.admit(account.name, 6'000, now, AdmissionPriority::New,
                                                number % 7));
        }
        CPPUNIT_ASSERT(withUrgency.collectDigestUses(true).front().byUrgency.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceReserveTest);
