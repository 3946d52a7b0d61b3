#include "servers/fleet/fleet_manager.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Between two plans; short against the boot of an engine (seconds).
constexpr Duration planInterval = std::chrono::milliseconds(500);
/// Listing and first work of an engine after its boot.
constexpr Duration bootMargin = std::chrono::milliseconds(2500);
/// After an order that was refused for lack of engines.
constexpr Duration refusedRetryDelay = std::chrono::milliseconds(2000);
/// After an order without an answer, which may still be carried out.
constexpr Duration unknownRetryDelay = std::chrono::milliseconds(1000);

/// Reclaimable engines are cheap, and giving one back drops the prompts that it holds. One on
/// demand costs several times as much.
Duration decreaseDelay(Market market)
{
    return market == Market::Reclaimable ? std::chrono::seconds(10) : std::chrono::seconds(4);
}

std::string_view marketName(Market market)
{
    return market == Market::Reclaimable ? "reclaimable" : "on-demand";
}

} // namespace

FleetManager::FleetManager(std::unique_ptr<FleetPlanner> planner, const EndpointRegistry &endpoints,
                           DutyPort &duties, std::function<Instant()> now,
                           std::function<void()> onFenced, DecisionLog &decisions)
    : m_planner(std::move(planner))
    , m_endpoints(endpoints)
    , m_duties(duties)
    , m_now(std::move(now))
    , m_onFenced(std::move(onFenced))
    , m_decisions(decisions)
{ }

void FleetManager::advance(std::uint64_t fencingNumber, const SiteConfiguration &configuration,
                           const std::map<ServiceHash, EnginesNeeded> &needed)
{
    // The orders of another holder are not known, so all are given again.
    if (std::exchange(m_fencingNumber, fencingNumber) != fencingNumber) {
        m_orders.clear();
        m_targets.clear();
        m_inheritedFleets.clear();
    }
    if (m_fencingNumber == 0 || m_now() < m_nextPlanAt)
        return;
    m_nextPlanAt = m_now() + planInterval;
    for (const Service &service : configuration.services()) {
        if (!service.scaling)
            continue;
        const auto known = needed.find(service.name);
        std::optional<EnginesNeeded> ofService;
        if (known != needed.end())
            ofService = known->second;
        manageService(service, ofService);
    }
}

void FleetManager::manageService(const Service &service, std::optional<EnginesNeeded> needed)
{
    const Instant now = m_now();
    FleetDemand demand{
            .limits = &*service.scaling, .needed = needed, .ready = readyEngines(service.name)};
    demand.inherited = inheritedFleet(service.name, demand.ready);
    for (auto &[key, order] : m_orders) {
        if (key.first != service.name)
            continue;
        const unsigned present = countOf(demand.ready, key.second);
        // Engines that were there and are gone do not come back without an order.
        if (present < order.lastReady && order.count > present)
            order.repeatAt = std::min(order.repeatAt, now);
        order.lastReady = present;
        // Engines that were given back take work until they say that they leave.
        if (!order.isRefused && order.count < present)
            demand.ready[key.second] = order.count;
        if (order.isRefused)
            demand.unavailable.insert(key.second);
        else if (order.count > present && now < order.repeatAt)
            demand.booting[key.second] = order.count - present;
    }
    const FleetPlan targets = delayDecreases(service.name, m_planner->plan(demand));
    for (const auto &[pool, count] : targets) {
        const OrderKey key{service.name, pool};
        const auto entry = m_orders.find(key);
        if (entry != m_orders.end() && entry->second.isPending)
            continue;
        const unsigned present = countOf(demand.ready, pool);
        if (present > count && !mayRelease(pool, count, demand, targets))
            continue;
        const bool isNew = entry == m_orders.end() || entry->second.count != count;
        const bool isDue = !isNew && entry->second.repeatAt <= now;
        if (isNew || (isDue && (present < count || entry->second.isUncertain))) {
            orderEngines(key, count, *service.scaling);
            // Those that are given back here can't make up for others.
            demand.ready[pool] = std::min(present, count);
        }
    }
}

FleetPlan FleetManager::delayDecreases(const ServiceId &service, const FleetPlan &plan)
{
    const Instant now = m_now();
    FleetPlan targets;
    for (const auto &[pool, count] : plan) {
        const auto [entry, isNew] = m_targets.try_emplace({service, pool}, Target{.count = count});
        Target &target = entry->second;
        if (count >= target.count) {
            target = {.count = count};
        } else {
            target.lowerSince = std::min(target.lowerSince, now);
            if (target.lowerSince + decreaseDelay(pool.second) <= now)
                target = {.count = count};
        }
        targets[pool] = target.count;
    }
    return targets;
}

/// Engines are given back only when those that stay are enough, so that nothing is missing while
/// others boot.
bool FleetManager::mayRelease(const EnginePool &pool, unsigned count, const FleetDemand &demand,
                              const FleetPlan &targets)
{
    const unsigned ready =
            countOf(demand.ready, Market::OnDemand) + countOf(demand.ready, Market::Reclaimable);
    const unsigned remaining = ready - countOf(demand.ready, pool) + count;
    const double planned =
            countOf(targets, Market::OnDemand) + countOf(targets, Market::Reclaimable);
    const double required = demand.needed ? demand.needed->minimum : demand.inherited.engineCount();
    return remaining >= std::min(planned, required);
}

/// Engines on demand that list themselves late belong to what was found: none are ordered before
/// the load is known.
const InheritedFleet &FleetManager::inheritedFleet(const ServiceId &service, const FleetPlan &ready)
{
    const auto [entry, isNew] = m_inheritedFleets.try_emplace(
            service, InheritedFleet{.reclaimable = countOf(ready, Market::Reclaimable)});
    InheritedFleet &fleet = entry->second;
    fleet.onDemand = std::max(fleet.onDemand, countOf(ready, Market::OnDemand));
    return fleet;
}

FleetPlan FleetManager::readyEngines(const ServiceId &service) const
{
    FleetPlan ready;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (endpoint.listing.service != service || endpoint.state != EndpointState::Ready)
            continue;
        const Market market =
                endpoint.listing.isReclaimable ? Market::Reclaimable : Market::OnDemand;
        ++ready[{endpoint.listing.zone, market}];
    }
    return ready;
}

void FleetManager::orderEngines(const OrderKey &key, unsigned count, const ScalingLimits &limits)
{
    const Instant now = m_now();
    m_orders[key] = {.count = count,
                     .sentAt = now,
                     .repeatAt = now + limits.bootTime + bootMargin,
                     .isPending = true};
    const auto &[service, pool] = key;
    m_decisions.write(LogLevel::Info, "engines-ordered", {},
                      {{"service", service.view()},
                       {"zone", pool.first.view()},
                       {"market", marketName(pool.second)},
                       {"count", static_cast<std::int64_t>(count)},
                       {"fencing_number", static_cast<std::int64_t>(m_fencingNumber)}});
    m_duties.orderEngines(
            m_fencingNumber,
            {.service = service, .zone = pool.first, .market = pool.second, .count = count},
            [this, key](DutyOutcome outcome) { handleAnswer(key, outcome); });
}

void FleetManager::handleAnswer(const OrderKey &key, DutyOutcome outcome)
{
    Order &order = m_orders[key];
    order.isPending = false;
    order.isRefused = outcome == DutyOutcome::Unavailable;
    order.isUncertain = outcome == DutyOutcome::Unknown;
    switch (outcome) {
    case DutyOutcome::Done:
        return;
    case DutyOutcome::Fenced:
        m_onFenced();
        return;
    case DutyOutcome::Unavailable:
        order.repeatAt = m_now() + refusedRetryDelay;
        break;
    case DutyOutcome::Unknown:
        order.repeatAt = m_now() + unknownRetryDelay;
        break;
    }
    m_decisions.write(LogLevel::Info, "engines-not-ordered", {},
                      {{"service", key.first.view()},
                       {"zone", key.second.first.view()},
                       {"market", marketName(key.second.second)},
                       {"refused", order.isRefused}});
}

} // namespace monsoonsail
