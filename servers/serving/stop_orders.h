#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/run_move.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// What an orderly close of a stream that ends with its connection shows.
enum class StreamEndGround {
    OrdersPending,    ///< Nothing yet.
    NoRunStopped,     ///< The stream is whole: no order has stopped it.
    OrdersUnanswered, ///< It may have been stopped by an order without a usable answer.
};

/// Returns the name of the ground in logs and metrics.
std::string_view streamEndGroundName(StreamEndGround ground);

/// The orders to stop a run of one request that endpoints were sent, and their answers. An order
/// names the request, so it also stops a later run of the request on the same endpoint.
class StopOrders
{
public:
    void recordOrder(AttemptNumber attempt, const EndpointId &endpoint, Instant now);
    /// Records how the order to stop this attempt that was sent last has ended.
    void recordAnswer(AttemptNumber attempt, RunMoveResult result, Instant now);
    /// Returns how many orders the endpoint was sent.
    std::size_t countAt(const EndpointId &endpoint) const;
    /// Judges the close of a stream on the endpoint that no answered order has stopped.
    StreamEndGround judgeClose(const EndpointId &endpoint) const;
    /// Returns "<endpoint>:<age in ms>:<result>:<age of the result in ms>" of each order, separated
    /// by commas; "pending" without an answer.
    std::string toLog(Instant now) const;

private:
    struct Order
    {
        AttemptNumber attempt = 0;
        EndpointId endpoint;
        Instant sentAt;
        std::optional<RunMoveResult> result; ///< Empty while the call is in progress.
        Instant endedAt;
    };

    std::vector<Order> m_orders; ///< In the order in which they were sent.
};

} // namespace monsoonsail
