#include "servers/fleet/fleet_manager.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Between two plans; short against the boot of an engine (seconds).
constexpr Duration interval = std::chrono::milliseconds(500);
/// Listing and first work of an engine after its boot.
constexpr Duration bootReserve = std::chrono::milliseconds(2500);
/// After an order that was refused for lack of engines.
constexpr Duration refusedRetry = std::chrono::milliseconds(2000);
/// After an order without an answer, which may still be carried out.
constexpr Duration unknownRetry = std::chrono::milliseconds(1000);

/// Reclaimable engines are cheap, and giving one back drops the prompts that it holds. One on
/// demand costs several times as much.
Duration lowerDelay(Market market)
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
        m_found.clear();
    }
    if (m_fencingNumber == 0 || m_now() < m_nextAt)
        return;
    m_nextAt = m_now() + interval;
    for (const Service &service : configuration.services()) {
        if (!service.scaling)
            continue;
        const auto known = needed.find(service.name);
        std::optional<EnginesNeeded> ofService;
        if (known != needed.end())
            ofService = known->second;
        manage(service, ofService);
    }
}

void FleetManager::manage(const Service &service, std::optional<EnginesNeeded> needed)
{
    const Instant now = m_now();
    FleetDemand demand{.limits = &*service.scaling, .needed = needed, .ready = ready(service.name)};
    demand.found = find(service.name, demand.ready);
    for (auto &[key, order] : m_orders) {
        if (key.first != service.name)
            continue;
        const unsigned present = countOf(demand.ready, key.second);
        // Engines that were there and are gone do not come back without an order.
        if (present < order.seen && order.count > present)
            order.repeatAt = std::min(order.repeatAt, now);
        order.seen = present;
        // Engines that were given back take work until they say that they leave.
        if (!order.isRefused && order.count < present)
            demand.ready[key.second] = order.count;
        if (order.isRefused)
            demand.unavailable.insert(key.second);
        else if (order.count > present && now < order.repeatAt)
            demand.booting[key.second] = order.count - present;
    }
    const FleetPlan targets = steady(service.name, m_planner->plan(demand));
    for (const auto &[slot, count] : targets) {
        const OrderKey key{service.name, slot};
        const auto entry = m_orders.find(key);
        if (entry != m_orders.end() && entry->second.isUnderWay)
            continue;
        const unsigned present = countOf(demand.ready, slot);
        if (present > count && !mayGiveBack(slot, count, demand, targets))
            continue;
        const bool isNew = entry == m_orders.end() || entry->second.count != count;
        const bool isDue = !isNew && entry->second.repeatAt <= now;
        if (isNew || (isDue && (present < count || entry->second.isUncertain))) {
            order(key, count, *service.scaling);
            // Those that are given back here can't make up for others.
            demand.ready[slot] = std::min(present, count);
        }
    }
}

FleetPlan FleetManager::steady(const ServiceId &service, const FleetPlan &plan)
{
    const Instant now = m_now();
    FleetPlan targets;
    for (const auto &[slot, count] : plan) {
        const auto [entry, isNew] = m_targets.try_emplace({service, slot}, Target{.count = count});
        Target &target = entry->second;
        if (count >= target.count) {
            target = {.count = count};
        } else {
            target.lowerSince = std::min(target.lowerSince, now);
            if (target.lowerSince + lowerDelay(slot.second) <= now)
                target = {.count = count};
        }
        targets[slot] = target.count;
    }
    return targets;
}

/// Engines are given back only when those that stay are enough, so that nothing is missing while
/// others boot.
bool FleetManager::mayGiveBack(const FleetSlot &slot, unsigned count, const FleetDemand &demand,
                               const FleetPlan &targets)
{
    const unsigned ready =
            countOf(demand.ready, Market::OnDemand) + countOf(demand.ready, Market::Reclaimable);
    const unsigned staying = ready - countOf(demand.ready, slot) + count;
    const double planned =
            countOf(targets, Market::OnDemand) + countOf(targets, Market::Reclaimable);
    const double enough = demand.needed ? demand.needed->least : demand.found.engines();
    return staying >= std::min(planned, enough);
}

/// Engines on demand that list themselves late belong to what was found: none are ordered before
/// the load is known.
const FoundFleet &FleetManager::find(const ServiceId &service, const FleetPlan &ready)
{
    const auto [entry, isNew] = m_found.try_emplace(
            service, FoundFleet{.reclaimable = countOf(ready, Market::Reclaimable)});
    FoundFleet &found = entry->second;
    found.onDemand = std::max(found.onDemand, countOf(ready, Market::OnDemand));
    return found;
}

FleetPlan FleetManager::ready(const ServiceId &service) const
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

void FleetManager::order(const OrderKey &key, unsigned count, const ScalingLimits &limits)
{
    const Instant now = m_now();
    m_orders[key] = {.count = count,
                     .sentAt = now,
                     .repeatAt = now + limits.bootTime + bootReserve,
                     .isUnderWay = true};
    const auto &[service, slot] = key;
    m_decisions.write(LogLevel::Info, "engines-ordered", {},
                      {{"service", service.view()},
                       {"zone", slot.first.view()},
                       {"market", marketName(slot.second)},
                       {"count", static_cast<std::int64_t>(count)},
                       {"fencing_number", static_cast<std::int64_t>(m_fencingNumber)}});
    m_duties.orderEngines(
            m_fencingNumber,
            {.service = service, .zone = slot.first, .market = slot.second, .count = count},
            [this, key](DutyOutcome outcome) { handleAnswer(key, outcome); });
}

void FleetManager::handleAnswer(const OrderKey &key, DutyOutcome outcome)
{
    Order &order = m_orders[key];
    order.isUnderWay = false;
    order.isRefused = outcome == DutyOutcome::Unavailable;
    order.isUncertain = outcome == DutyOutcome::Unknown;
    switch (outcome) {
    case DutyOutcome::Done:
        return;
    case DutyOutcome::Fenced:
        m_onFenced();
        return;
    case DutyOutcome::Unavailable:
        order.repeatAt = m_now() + refusedRetry;
        break;
    case DutyOutcome::Unknown:
        order.repeatAt = m_now() + unknownRetry;
        break;
    }
    m_decisions.write(LogLevel::Info, "engines-not-ordered", {},
                      {{"service", key.first.view()},
                       {"zone", key.second.first.view()},
                       {"market", marketName(key.second.second)},
                       {"refused", order.isRefused}});
}

} // namespace monsoonsail
