#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/fleet/fleet_planner.h"
#include "servers/fleet/fleet_versions.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/duty_port.h"
#include "servers/site/site_configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace monsoonsail {

/// Orders engines as planned while this instance holds the duties.
class FleetManager
{
public:
    /// `onFenced` is called when the platform rejects an order because a newer holder has acted.
    /// References must outlive the manager.
    FleetManager(std::unique_ptr<FleetPlanner> planner, const EndpointRegistry &endpoints,
                 DutyPort &duties, std::function<Instant()> now, std::function<void()> onFenced,
                 DecisionLog &decisions);

    /// Sets which versions count, from then on; all do before. `versions` must outlive the manager.
    void setVersions(const FleetVersions *versions) { m_versions = versions; }
    /// Plans and orders engines; called several times a second. `fencingNumber` is 0 while this
    /// instance does not hold the duties. `needed` lacks services whose load is not known yet.
    void advance(std::uint64_t fencingNumber, const SiteConfiguration &configuration,
                 const std::map<ServiceHash, EnginesNeeded> &needed);

private:
    struct Order
    {
        unsigned count = 0;
        Instant sentAt;
        Instant repeatAt;       ///< When the order is sent again if engines are missing.
        unsigned lastReady = 0; ///< Ready engines of the pool at the last plan.
        bool isPending = false;
        bool isRefused = false;
        bool isUncertain = false; ///< There was no answer; it may have been carried out.
    };
    /// Number of engines to order. Follows the plan up at once and down after a delay.
    struct Target
    {
        unsigned count = 0;
        Instant lowerSince = Instant::max(); ///< Since when the plan has been lower.
    };
    using OrderKey = std::pair<ServiceId, EnginePool>;

    void manageService(const Service &service, std::optional<EnginesNeeded> needed);
    /// A set of engines of one service.
    struct ReadyEngines
    {
        FleetPlan counted;
        std::set<SoftwareVersion> countedVersions;
        std::set<SoftwareVersion> ignoredVersions; ///< Of ready engines that are not counted.
    };

    ReadyEngines readyEngines(const ServiceId &service) const;
    bool isRollingOut(const ServiceId &service) const;
    /// Lets the orders stand for another set of engines if that is counted from now on.
    void noteCounted(const Service &service, const ReadyEngines &ready);
    const InheritedFleet &inheritedFleet(const ServiceId &service, const FleetPlan &ready);
    FleetPlan delayDecreases(const ServiceId &service, const FleetPlan &plan,
                             const FleetPlan &ready);
    static bool mayRelease(const EnginePool &pool, unsigned count, const FleetDemand &demand,
                           const FleetPlan &targets);
    void orderEngines(const OrderKey &key, unsigned count, const ScalingLimits &limits);
    void handleAnswer(const OrderKey &key, DutyOutcome outcome);

    const std::unique_ptr<FleetPlanner> m_planner;
    const EndpointRegistry &m_endpoints;
    DutyPort &m_duties;
    const std::function<Instant()> m_now;
    const std::function<void()> m_onFenced;
    DecisionLog &m_decisions;
    std::uint64_t m_fencingNumber = 0;
    std::map<OrderKey, Order> m_orders;
    std::map<OrderKey, Target> m_targets;
    std::map<ServiceId, InheritedFleet> m_inheritedFleets;
    Instant m_nextPlanAt;
    const FleetVersions *m_versions = nullptr;
    std::map<ServiceId, ReadyEngines> m_ready; ///< At the last plan.
};

} // namespace monsoonsail
