#include "drivers/traffic/traffic_relay.h"

#include <cstddef>

// The part of the traffic relay that counts the memory for requests and bounds that for responses.
// An endpoint that sends bytes without end holds the most, so the largest response is given up
// first and the others go on.

namespace monsoonsail {

void TrafficRelay::onMemoryExceeded()
{
    while (m_responseMemory.isExceeded()) {
        Attempt *largest = nullptr;
        for (const auto &[request, exchange] : m_exchanges) {
            for (const auto &[number, attempt] : exchange->attempts) {
                // A whole answer is about to be delivered.
                const bool isLarger =
                        largest == nullptr || attempt->heldBytes() > largest->heldBytes();
                if (!attempt->hasEnded() && isLarger)
                    largest = attempt.get();
            }
        }
        if (largest == nullptr || largest->heldBytes() == 0)
            return;
        largest->endForMemory();
    }
}

// Callers that send are refused by the next count of one of them, not here.
void TrafficRelay::countRequestBytes(Exchange &exchange)
{
    std::size_t bytes = exchange.body.capacity() + exchange.head.fields.memoryBytes();
    for (const auto &[number, attempt] : exchange.attempts)
        bytes += attempt->unsentRequestBytes();
    m_callers.requestMemory().update(exchange.countedBytes, bytes);
    exchange.countedBytes = bytes;
}

} // namespace monsoonsail
