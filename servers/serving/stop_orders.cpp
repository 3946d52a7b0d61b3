#include "servers/serving/stop_orders.h"

#include <algorithm>
#include <cstdint>

namespace monsoonsail {

namespace {

std::string wholeMs(Duration duration)
{
    return std::to_string(static_cast<std::int64_t>(toMs(duration)));
}

} // namespace

std::string_view streamEndGroundName(StreamEndGround ground)
{
    switch (ground) {
    case StreamEndGround::OrdersPending:
        return "orders-pending";
    case StreamEndGround::NoRunStopped:
        return "no-run-stopped";
    case StreamEndGround::OrdersUnanswered:
        return "orders-unanswered";
    }
    return "unknown";
}

void StopOrders::recordOrder(AttemptNumber attempt, const EndpointId &endpoint, Instant now)
{
    m_orders.push_back({.attempt = attempt, .endpoint = endpoint, .sentAt = now});
}

void StopOrders::recordAnswer(AttemptNumber attempt, RunMoveResult result, Instant now)
{
    const auto order = std::find_if(m_orders.rbegin(), m_orders.rend(), [attempt](const Order &o) {
        return o.attempt == attempt && !o.result;
    });
    if (order == m_orders.rend())
        return;
    order->result = result;
    order->endedAt = now;
}

std::size_t StopOrders::countAt(const EndpointId &endpoint) const
{
    return static_cast<std::size_t>(std::ranges::count(m_orders, endpoint, &Order::endpoint));
}

// "Not found" says only that the order itself has stopped nothing. The run may be gone since an
// earlier order without an answer was carried out, so each order has to be accounted for.
StreamEndGround StopOrders::judgeClose(const EndpointId &endpoint) const
{
    StreamEndGround ground = StreamEndGround::NoRunStopped;
    for (const Order &order : m_orders) {
        if (order.endpoint != endpoint)
            continue;
        if (!order.result)
            return StreamEndGround::OrdersPending;
        if (*order.result == RunMoveResult::Failed)
            ground = StreamEndGround::OrdersUnanswered;
    }
    return ground;
}

std::string StopOrders::toLog(Instant now) const
{
    std::string text;
    for (const Order &order : m_orders) {
        text += text.empty() ? "" : ",";
        text += order.endpoint.view();
        text += ":" + wholeMs(now - order.sentAt) + ":";
        if (!order.result) {
            text += "pending";
            continue;
        }
        text += runMoveResultName(*order.result);
        text += ":" + wholeMs(now - order.endedAt);
    }
    return text;
}

} // namespace monsoonsail
