#include "drivers/traffic/traffic_relay.h"

#include <memory>
#include <utility>
#include <vector>

// The part of the traffic relay that ends all connections of callers before the process ends.

namespace monsoonsail {

namespace {
/// By then the caller should try another instance.
constexpr Duration retryDelay = std::chrono::milliseconds(200);
} // namespace

void TrafficRelay::closeCallers()
{
    if (std::exchange(m_isClosing, true))
        return;
    m_stopping = true;
    m_callerListener->close();
    endOpenRequests();
    for (const auto &connection : m_callers.all())
        connection->finish();
    reportCallersClosed();
}

void TrafficRelay::refuseNewRequest(RequestNumber request)
{
    refuse({.request = request, .kind = ErrorKind::Stopping, .retryAt = m_loop.now() + retryDelay});
}

// The listener has ended its requests before. What is left arrived while it did so, and was not
// passed on.
void TrafficRelay::endOpenRequests()
{
    std::vector<RequestNumber> requests;
    for (const auto &[number, exchange] : m_exchanges)
        requests.push_back(number);
    for (const RequestNumber number : requests) {
        const Exchange *exchange = findExchange(number);
        if (exchange == nullptr)
            continue;
        if (exchange->attempts.empty())
            refuseNewRequest(number);
        else
            refuse({.request = number, .kind = ErrorKind::AnswerInterrupted});
    }
}

void TrafficRelay::reportCallersClosed()
{
    if (m_callers.isEmpty() && !std::exchange(m_areCallersClosed, true))
        m_listener.onCallersClosed();
}

} // namespace monsoonsail
