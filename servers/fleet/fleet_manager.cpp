#include "servers/fleet/fleet_manager.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Time between two plans; short compared with the boot time of an engine (seconds).
constexpr Duration planInterval = std::chrono::milliseconds(500);
/// Time after its boot in which an engine lists itself and takes its first work.
constexpr Duration bootMargin = std::chrono::milliseconds(2500);
/// Time until an order is repeated that was refused because no engines were available.
constexpr Duration refusedRetryDelay = std::chrono::milliseconds(2000);
/// Time until an order without an answer is repeated; it may still be carried out.
constexpr Duration unknownRetryDelay = std::chrono::milliseconds(1000);

/// Returns how long a lower plan must last before engines are released. Reclaimable engines are
/// cheap, and releasing one loses its prompt cache; engines on demand cost several times as much.
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
    // The orders of the previous holder are not known, so all orders are sent again.
    if (std::exchange(m_fencingNumber, fencingNumber) != fencingNumber) {
        m_orders.clear();
        m_targets.clear();
        m_inheritedFleets.clear();
        m_ready.clear();
    }
    if (m_fencingNumber == 0 || m_now() < m_nextPlanAt)
        return;
    m_nextPlanAt = m_now() + planInterval;
    for (const Service &service : configuration.services()) {
        if (!service.scaling)
            continue;
        const auto entry = needed.find(service.name);
        std::optional<EnginesNeeded> serviceNeed;
        if (entry != needed.end())
            serviceNeed = entry->second;
        manageService(service, serviceNeed);
    }
}

void FleetManager::manageService(const Service &service, std::optional<EnginesNeeded> needed)
{
    const Instant now = m_now();
    const ReadyEngines ready = readyEngines(service.name);
    noteCounted(service, ready);
    FleetDemand demand{.limits = &*service.scaling, .needed = needed, .ready = ready.counted};
    demand.inherited = inheritedFleet(service.name, demand.ready);
    for (auto &[key, order] : m_orders) {
        if (key.first != service.name)
            continue;
        const unsigned readyCount = countOf(demand.ready, key.second);
        // Engines that were ready and are lost are not replaced without another order.
        if (readyCount < order.lastReady && order.count > readyCount)
            order.repeatAt = std::min(order.repeatAt, now);
        order.lastReady = readyCount;
        // Released engines are ready until they announce that they leave, but are not counted.
        if (!order.isRefused && order.count < readyCount)
            demand.ready[key.second] = order.count;
        if (order.isRefused)
            demand.unavailable.insert(key.second);
        else if (order.count > readyCount && now < order.repeatAt)
            demand.booting[key.second] = order.count - readyCount;
    }
    const FleetPlan targets = delayDecreases(service.name, m_planner->plan(demand), demand.ready);
    for (const auto &[pool, count] : targets) {
        const OrderKey key{service.name, pool};
        const auto entry = m_orders.find(key);
        if (entry != m_orders.end() && entry->second.isPending)
            continue;
        const unsigned readyCount = countOf(demand.ready, pool);
        // A pool without engines refuses a higher count as well.
        if (entry != m_orders.end() && entry->second.isRefused && entry->second.repeatAt > now
            && count > readyCount)
            continue;
        if (readyCount > count && !mayRelease(pool, count, demand, targets))
            continue;
        const bool isNew = entry == m_orders.end() || entry->second.count != count;
        const bool isDue = !isNew && entry->second.repeatAt <= now;
        if (isNew || (isDue && (readyCount < count || entry->second.isUncertain))) {
            orderEngines(key, count, *service.scaling);
            // Engines released here do not count when other pools are considered.
            demand.ready[pool] = std::min(readyCount, count);
        }
    }
}

FleetPlan FleetManager::delayDecreases(const ServiceId &service, const FleetPlan &plan,
                                       const FleetPlan &ready)
{
    const Instant now = m_now();
    FleetPlan targets;
    // While two sets run, a lower order might take engines of either one away.
    const bool keepsAll = isRollingOut(service);
    for (const auto &[pool, count] : plan) {
        // A new holder takes the reclaimable engines that it finds for the target of its
        // predecessor. Those on demand cost too much to keep them until it knows the load better.
        const bool isTaken = pool.second == Market::Reclaimable || keepsAll;
        const unsigned found = isTaken ? countOf(ready, pool) : 0;
        const auto [entry, isNew] =
                m_targets.try_emplace({service, pool}, Target{.count = std::max(count, found)});
        Target &target = entry->second;
        if (count >= target.count) {
            target = {.count = count};
        } else if (keepsAll) {
            target.lowerSince = now;
        } else {
            target.lowerSince = std::min(target.lowerSince, now);
            if (target.lowerSince + decreaseDelay(pool.second) <= now)
                target = {.count = count};
        }
        targets[pool] = target.count;
    }
    return targets;
}

/// Engines are released only if the remaining ones are sufficient, so that there is no shortage
/// while replacements boot.
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

/// Engines on demand that list themselves later were also ordered by an earlier holder, since this
/// one orders none before the load is known.
const InheritedFleet &FleetManager::inheritedFleet(const ServiceId &service, const FleetPlan &ready)
{
    const auto [entry, isNew] = m_inheritedFleets.try_emplace(
            service, InheritedFleet{.reclaimable = countOf(ready, Market::Reclaimable)});
    InheritedFleet &fleet = entry->second;
    fleet.onDemand = std::max(fleet.onDemand, countOf(ready, Market::OnDemand));
    return fleet;
}

FleetManager::ReadyEngines FleetManager::readyEngines(const ServiceId &service) const
{
    ReadyEngines ready;
    FleetPlan ignored;
    std::map<SoftwareVersion, bool> isCounted;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (endpoint.listing.service != service || endpoint.state != EndpointState::Ready)
            continue;
        const Market market =
                endpoint.listing.isReclaimable ? Market::Reclaimable : Market::OnDemand;
        const SoftwareVersion &software = endpoint.listing.software;
        const auto [entry, isNew] = isCounted.try_emplace(software, true);
        if (isNew && m_versions != nullptr)
            entry->second = m_versions->isServing(service, software);
        ++(entry->second ? ready.counted : ignored)[{endpoint.listing.zone, market}];
        (entry->second ? ready.countedVersions : ready.ignoredVersions).insert(software);
    }
    // A version that was rolled back may have been deployed by other means since.
    if (ready.counted.empty() && !isRollingOut(service))
        return {.counted = ignored, .countedVersions = ready.ignoredVersions};
    return ready;
}

bool FleetManager::isRollingOut(const ServiceId &service) const
{
    return m_versions != nullptr && m_versions->isRollingOut(service);
}

void FleetManager::noteCounted(const Service &service, const ReadyEngines &ready)
{
    const auto haveCommon = [](const std::set<SoftwareVersion> &some,
                               const std::set<SoftwareVersion> &others) {
        return std::ranges::any_of(some, [&others](const SoftwareVersion &version) {
            return others.contains(version);
        });
    };
    const ReadyEngines before = std::exchange(m_ready[service.name], ready);
    if (!haveCommon(before.countedVersions, ready.ignoredVersions)
        && !haveCommon(before.ignoredVersions, ready.countedVersions))
        return;
    // The engines that are counted now have been started for the same orders. None of the others
    // was lost.
    const Instant repeatAt = m_now() + service.scaling->bootTime + bootMargin;
    for (auto &[key, order] : m_orders) {
        if (key.first != service.name || order.isRefused)
            continue;
        order.lastReady = countOf(ready.counted, key.second);
        order.repeatAt = std::max(order.repeatAt, repeatAt);
    }
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
