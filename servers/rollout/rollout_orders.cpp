#include "servers/rollout/rollout_orders.h"

#include "core/log_position.h"

#include <algorithm>
#include <optional>

namespace monsoonsail {

namespace {
/// More than any operator orders within the age of a copy of the store.
constexpr std::size_t maxSeen = 64;
/// A reader's data is no older.
constexpr Duration maxReadTime = std::chrono::milliseconds(1500);
/// Time from the death of a holder of the duties until its successor reads the topic.
constexpr Duration maxTakeoverTime = std::chrono::seconds(5);
} // namespace

void RolloutOrders::onValueChanged(const LogRecord &record, Instant now)
{
    if (!m_codec.isRolloutOrder(record.key))
        return;
    std::string fault;
    std::optional<RolloutOrder> order = m_codec.parseRolloutOrder(record.key, record.value, fault);
    if (!order) {
        m_decisions.write(LogLevel::Warning, "rollout-order-unreadable", {},
                          {{"key", record.key}, {"reason", fault}});
        return;
    }
    order->position = record.offset;
    order->orderedAt = orderTime(now);
    if (findOriginal(*order) != nullptr)
        return;
    m_decisions.write(LogLevel::Info, "rollout-ordered", {},
                      {{"service", order->service.view()},
                       {"target", order->target.view()},
                       {"allowed_ms", toMs(order->allowedTime)},
                       {"position", toLog(order->position)}});
    m_seen.push_back(*order);
    if (m_seen.size() > maxSeen)
        m_seen.erase(m_seen.begin());
    const auto [entry, isNew] = m_newest.try_emplace(order->service, *order);
    if (!isNew && order->position > entry->second.position)
        entry->second = *order;
}

// A reader of the topic gets an order at once. An instance that has just become one, to take the
// duties over, gets it later, and must not take that for the time of the order.
Instant RolloutOrders::orderTime(Instant now) const
{
    if (!m_asOf || now < *m_asOf + maxReadTime)
        return now;
    return std::max(*m_asOf, now - maxTakeoverTime);
}

const RolloutOrder *RolloutOrders::findOriginal(const RolloutOrder &order) const
{
    const std::uint64_t offset = LogPosition::of(order.position).offset;
    const auto original = std::ranges::find_if(m_seen, [&](const RolloutOrder &seen) {
        return seen.service == order.service && seen.target == order.target
                && seen.allowedTime == order.allowedTime
                && LogPosition::of(seen.position).offset == offset;
    });
    return original == m_seen.end() ? nullptr : &*original;
}

} // namespace monsoonsail
