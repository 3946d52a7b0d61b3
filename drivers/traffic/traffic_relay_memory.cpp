#include "drivers/traffic/traffic_relay.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

// The part of the traffic relay that bounds the memory for responses. An endpoint that sends bytes
// without end holds the most, so the largest response is given up first and the others go on.

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

void TrafficRelay::closeSlowCallers()
{
    std::size_t unsentBytes = std::accumulate(
            m_connections.begin(), m_connections.end(), std::size_t{0},
            [](std::size_t sum, const auto &caller) { return sum + caller->unsentBytes(); });
    while (unsentBytes > m_responseMemory.maxBytes()) {
        const auto largest = *std::ranges::max_element(
                m_connections, {}, [](const auto &caller) { return caller->unsentBytes(); });
        unsentBytes -= largest->unsentBytes();
        largest->close();
    }
}

} // namespace monsoonsail
