#include "tests/servers/simulated_fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Size and bounds of a fleet, as in the users' deployments.
struct FleetSize
{
    unsigned instances = 0;
    unsigned zones = 4;
    Duration configurationTime{}; ///< Time within which a change must be in force.
    Duration drainTime{};
    int phases = 0; ///< Number of instants in the readers' cycle at which the fault is played.
};

const std::vector<FleetSize> fleetSizes = {
        {.instances = 5, .configurationTime = seconds(2), .drainTime = seconds(2), .phases = 40},
        {.instances = 9, .configurationTime = seconds(2), .drainTime = seconds(2), .phases = 40},
        {.instances = 9,
         .zones = 1,
         .configurationTime = seconds(2),
         .drainTime = seconds(4),
         .phases = 40},
        {.instances = 18, .configurationTime = seconds(2), .drainTime = seconds(2), .phases = 20},
        {.instances = 45, .configurationTime = seconds(3), .drainTime = seconds(3), .phases = 4},
        {.instances = 118, .configurationTime = seconds(4), .drainTime = seconds(4), .phases = 2}};

/// Covers the whole cycle of a reader's long poll.
constexpr Duration cycle = milliseconds(1100);
constexpr Duration settleTime = seconds(8);
constexpr Duration checkInterval = milliseconds(10);

} // namespace

/// Guards that a published configuration is in force in time on all instances that reach the others
/// or the store, whatever happens to those that read the store for them.
class ConfigurationSpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationSpreadTest);
    CPPUNIT_TEST(changeIsInForceInTime);
    CPPUNIT_TEST(changeIsInForceInTimeIfOneReaderLosesTheStore);
    CPPUNIT_TEST(changeIsInForceInTimeIfTheReadersLoseTheStore);
    CPPUNIT_TEST(changeIsInForceInTimeIfTheStoreRefusesTheReaders);
    CPPUNIT_TEST(changeIsInForceInTimeIfTheReadersFreeze);
    CPPUNIT_TEST(changeIsInForceInTimeIfTheReadersAreCutOff);
    CPPUNIT_TEST(changeIsInForceInTimeIfNobodyHearsTheReaders);
    CPPUNIT_TEST(changeIsInForceInTimeIfDigestsGetLost);
    CPPUNIT_TEST(instanceThatTheStoreRefusesGetsTheChange);
    CPPUNIT_TEST(instanceThatLosesTheStoreGetsTheChange);
    CPPUNIT_TEST(instanceThatStartsWithoutTheStoreGetsTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

    using Names = std::vector<std::string>;
    /// Plays a fault, given the readers. Returns the instances that it excuses.
    using Fault = std::function<Names(SimulatedFleet &, const Names &)>;

    static void publish(SimulatedFleet &fleet, Revision revision)
    {
        fleet.store().append("keyed.op", "config", std::to_string(revision));
    }

    /// Returns the time until all instances but `excused` have the revision in force.
    static Duration timeUntilInForce(SimulatedFleet &fleet, Revision revision, const Names &excused,
                                     Duration limit)
    {
        const Instant publishedAt = fleet.now();
        const auto isInForce = [&](const std::string &name) {
            return std::ranges::find(excused, name) != excused.end()
                    || fleet.process(name)->revision() >= revision;
        };
        while (!std::ranges::all_of(fleet.names(), isInForce) && fleet.now() < publishedAt + limit)
            fleet.advance(checkInterval);
        return fleet.now() - publishedAt;
    }

    static Names readers(SimulatedFleet &fleet)
    {
        Names names;
        std::ranges::copy_if(fleet.names(), std::back_inserter(names),
                             [&](const auto &name) { return fleet.process(name)->isReader(); });
        return names;
    }

    /// Plays the fault shortly before a change, at different instants of the readers' cycle, and
    /// checks how long the change takes.
    static void play(const std::string &label, const Fault &fault)
    {
        std::ostringstream text;
        bool isInTime = true;
        for (const FleetSize &size : fleetSizes) {
            Duration longest{};
            for (int phase = 0; phase < size.phases; ++phase) {
                SimulatedFleet fleet({.instances = size.instances,
                                      .zones = size.zones,
                                      .drainTime = size.drainTime,
                                      .configurationTime = size.configurationTime,
                                      .seed = static_cast<std::uint64_t>(phase) + 1});
                publish(fleet, 1);
                fleet.advance(settleTime + cycle * phase / size.phases);
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers(fleet).size());
                const Names excused = fault(fleet, readers(fleet));
                fleet.advance(milliseconds(20));
                publish(fleet, 2);
                longest = std::max(longest,
                                   timeUntilInForce(fleet, 2, excused, size.configurationTime * 3));
            }
            text << "; " << size.instances << " in " << size.zones << " zones " << toMs(longest)
                 << " ms of " << toMs(size.configurationTime);
            isInTime = isInTime && longest < size.configurationTime;
        }
        std::cout << "\n  " << label << text.str() << std::flush;
        CPPUNIT_ASSERT_MESSAGE(label + text.str(), isInTime);
    }

    /// Returns a fault that plays `loss` on the first `count` readers, which it excuses.
    static Fault lossOf(std::size_t count,
                        const std::function<void(SimulatedFleet &, const std::string &)> &loss)
    {
        return [count, loss](SimulatedFleet &fleet, const Names &readers) {
            const Names lost(readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(count));
            for (const std::string &name : lost)
                loss(fleet, name);
            return lost;
        };
    }
    static Fault lossOfStore(std::size_t count, StoreState state)
    {
        return lossOf(count, [state](SimulatedFleet &fleet, const std::string &name) {
            fleet.setStoreState(name, state);
        });
    }
    /// Returns a fault in which one instance, which is not excused, has lost the store.
    static Fault lossOfStoreOnAnInstance(StoreState state)
    {
        return [state](SimulatedFleet &fleet, const Names & /*readers*/) {
            fleet.setStoreState(fleet.names().back(), state);
            fleet.advance(seconds(3));
            return Names();
        };
    }

public:
    void changeIsInForceInTime()
    {
        play("no fault", [](SimulatedFleet &, const Names &) { return Names(); });
    }

    void changeIsInForceInTimeIfOneReaderLosesTheStore()
    {
        play("one reader without the store", lossOfStore(1, StoreState::Silent));
    }

    // Their digests said for 1.6 s that their data was recent.
    void changeIsInForceInTimeIfTheReadersLoseTheStore()
    {
        play("two readers without the store", lossOfStore(2, StoreState::Silent));
    }

    void changeIsInForceInTimeIfTheStoreRefusesTheReaders()
    {
        play("two readers refused", lossOfStore(2, StoreState::Refusing));
    }

    void changeIsInForceInTimeIfTheReadersFreeze()
    {
        play("two readers frozen",
             lossOf(2, [](SimulatedFleet &fleet, const std::string &name) { fleet.freeze(name); }));
    }

    void changeIsInForceInTimeIfTheReadersAreCutOff()
    {
        play("two readers cut off", lossOf(2, [](SimulatedFleet &fleet, const std::string &name) {
                 fleet.setCut(name, true, true);
                 fleet.setStoreState(name, StoreState::Silent);
             }));
    }

    void changeIsInForceInTimeIfNobodyHearsTheReaders()
    {
        play("two readers not heard", lossOf(2, [](SimulatedFleet &fleet, const std::string &name) {
                 fleet.setCut(name, true, false);
             }));
    }

    void changeIsInForceInTimeIfDigestsGetLost()
    {
        play("every fifth datagram lost, two readers without the store",
             lossOf(2, [](SimulatedFleet &fleet, const std::string &name) {
                 fleet.network().setLoss(0.2);
                 fleet.setStoreState(name, StoreState::Silent);
             }));
    }

    // It went on with the old configuration for as long as the store refused it.
    void instanceThatTheStoreRefusesGetsTheChange()
    {
        play("an instance refused", lossOfStoreOnAnInstance(StoreState::Refusing));
    }

    void instanceThatLosesTheStoreGetsTheChange()
    {
        play("an instance without the store", lossOfStoreOnAnInstance(StoreState::Silent));
    }

    void instanceThatStartsWithoutTheStoreGetsTheConfiguration()
    {
        SimulatedFleet fleet({.instances = 5, .drainTime = seconds(2)});
        publish(fleet, 1);
        fleet.advance(settleTime);
        const std::string name = fleet.names().back();
        fleet.kill(name);
        fleet.setStoreState(name, StoreState::Refusing);
        fleet.start(name);
        const Duration time = timeUntilInForce(fleet, 1, {}, seconds(10));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toMs(time)) + " ms", time < seconds(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSpreadTest);
