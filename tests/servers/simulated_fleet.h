#pragma once

#include "tests/servers/late_use.h"
#include "tests/servers/simulated_endpoints.h"
#include "tests/servers/simulated_instance.h"
#include "tests/servers/simulated_network.h"
#include "tests/servers/simulated_store.h"
#include "tests/servers/virtual_scheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Entry instances in availability zones with their store, network and endpoints, in virtual
/// time. Records each use of an endpoint that breaks the rule: an instance in touch uses no
/// endpoint later than the drain time after the store has accepted the record of its end.
///
/// An instance is in touch while its process runs and reaches the store. The drain time counts anew
/// from the end of a freeze, a restart or an outage. A cut gives no more time than
/// cutDetectionTime() after its start. What a process has stopped to use when the store comes back
/// from an older copy, it must not use again.
class SimulatedFleet
{
public:
    struct Options
    {
        unsigned instances = 5;
        unsigned zones = 4;
        Duration drainTime = std::chrono::seconds(4);
        /// Time within which configurations must be in force.
        Duration configurationTime = std::chrono::seconds(4);
        std::uint64_t seed = 1;
        /// Bound of the difference between the clocks of two instances.
        Duration maxClockOffset = std::chrono::seconds(30);
    };

    explicit SimulatedFleet(const Options &options);

    void advance(Duration duration);
    /// Runs `action` after the given time.
    void after(Duration delay, std::function<void()> action);
    Instant now() const { return m_scheduler.now(); }

    SimulatedStore &store() { return m_store; }
    SimulatedNetwork &network() { return m_network; }
    SimulatedEndpoints &endpoints() { return m_endpoints; }

    /// Names of the instances, those that run and those that don't. The first two read the store.
    const std::vector<std::string> &names() const { return m_names; }
    std::vector<std::string> namesIn(const ZoneId &zone) const;
    ZoneId zoneOf(const std::string &name) const { return m_slots.at(name).zone; }
    /// The running process, or nullptr.
    SimulatedInstance *process(const std::string &name) { return m_slots.at(name).process.get(); }
    bool isUsedEverywhere(const EndpointId &endpoint) const;

    void kill(const std::string &name);
    void start(const std::string &name);
    void freeze(const std::string &name);
    void resume(const std::string &name);
    /// Sets the state of the whole store, or of the store as seen by one instance.
    void setStoreState(StoreState state);
    void setStoreState(const std::string &name, StoreState state);
    /// Takes the store away, and brings it back from a copy that was `age` old when it went.
    void restoreStore(StoreState meanwhile, Duration away, Duration age);
    /// Cuts or restores one or both directions between an instance and all others.
    void setCut(const std::string &name, bool outgoing, bool incoming);
    void setLinkCut(const std::string &from, const std::string &to, bool isCut);

    /// Returns the faults that were played between two instants, one kind a line.
    std::string faultsBetween(Instant from, Instant to) const;
    const std::vector<LateUse> &lateUses() const { return m_lateUses; }
    std::uint64_t listReads() const;
    /// Number of those of them that asked for the whole list.
    std::uint64_t wholeListReads() const;
    /// Time after the start of a cut within which an instance must read the store itself.
    Duration cutDetectionTime() const;

private:
    struct Fault
    {
        Instant at;
        std::string kind;
        std::string instance; ///< Empty if it concerns all of them.
    };
    struct Slot
    {
        ZoneId zone;
        Duration clockOffset{};
        StoreState storeState = StoreState::Running;
        unsigned starts = 0;
        std::unique_ptr<SimulatedInstance> process; ///< Null while it does not run.
        /// Endpoints that had ended, and that the process did not use, when the store came back
        /// from a copy.
        std::set<EndpointId> unused;
        Instant inTouchSince;
        Instant lastCutAt;
    };

    /// Remembers which endpoints that have ended no process uses.
    void rememberUnused();
    void recordLateUse(const std::string &name, const EndpointId &endpoint, Instant endedAt,
                       Instant until);
    void recordFault(const std::string &kind, const std::string &instance = {});
    void checkUses();
    void checkUse(const std::string &name, const Slot &slot, const EndpointId &endpoint,
                  Instant endedAt);
    void markBackInTouch(Slot &slot) { slot.inTouchSince = now(); }

    const Options m_options;
    VirtualScheduler m_scheduler;
    SimulatedStore m_store;
    SimulatedNetwork m_network;
    SimulatedEndpoints m_endpoints;
    std::vector<std::string> m_names;
    std::map<std::string, Slot> m_slots;
    /// Ended processes; the scheduler still has tasks of theirs, which do nothing.
    std::vector<std::unique_ptr<SimulatedInstance>> m_endedProcesses;
    std::optional<Instant> m_restoredAt; ///< When the store last came back from a copy.
    std::vector<Fault> m_faults;
    std::vector<LateUse> m_lateUses;
    std::map<std::pair<std::string, EndpointId>, std::size_t> m_lateUseIndices;
};

} // namespace monsoonsail
