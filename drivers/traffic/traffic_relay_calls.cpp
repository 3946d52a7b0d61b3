#include "drivers/traffic/traffic_relay.h"

#include <algorithm>
#include <memory>
#include <utility>

// The part of the traffic relay that makes calls of this instance, not of a caller, to endpoints.

namespace monsoonsail {

namespace {
/// A status check whose timeout is noticed later than this shows nothing about the endpoint.
constexpr Duration maxCheckDelay = std::chrono::milliseconds(100);
} // namespace

void TrafficRelay::moveRun(const RunMove &move)
{
    RunMoveEnd end{.request = move.request, .attempt = move.attempt};
    Exchange *exchange = findExchange(move.request);
    if (exchange == nullptr)
        return;
    // The response may have no id.
    std::shared_ptr<EndpointConnection> connection = m_endpointPool.takeIdle(
            move.source, Instant::min(), exchange->usedConnections, CheckedConnections::Excluded);
    std::error_code error;
    if (!connection)
        connection = m_endpointPool.connect(move.source, move.sourceAddress, error);
    if (!connection) {
        end.result = RunMoveResult::NotSent;
        end.reason = error.message();
        m_listener.onRunMoveEnded(end);
        return;
    }
    exchange->stoppedEndpoints.insert(move.source);
    std::string request;
    m_codec.writeMoveRequest(exchange->callerId, move, request);
    // The response has no id, or that of the run.
    const auto filter = [this, callerId = exchange->callerId](const ResponseHead &head) {
        const std::string id = m_codec.parseResponse(head).callerId.value_or("");
        return id.empty() || id == callerId;
    };
    const auto callback = [this, end](const EndpointCall::Response &response) mutable {
        end.reason = response.reason;
        if (!response.wasSent)
            end.result = RunMoveResult::NotSent;
        if (response.status != 0)
            m_codec.parseMoveResponse(response.status, response.body, end);
        m_listener.onRunMoveEnded(end);
    };
    m_endpointCalls.push_back(std::make_unique<EndpointCall>(m_loop, std::move(connection),
                                                             move.deadline, filter, callback));
    m_endpointCalls.back()->send(request);
}

void TrafficRelay::checkEndpoint(const EndpointCheck &check)
{
    // The response doesn't name its request, so the connection is not shared with requests of
    // callers: a late or second response could be taken for the answer to one of them.
    const EndpointCheckEnd inconclusiveEnd{
            .endpoint = check.endpoint, .isResponsive = true, .isConclusive = false};
    std::error_code error;
    auto connection = m_loop.now() < check.deadline
            ? m_endpointPool.connect(check.endpoint, check.address, error)
            : nullptr;
    if (!connection) {
        // A failure before anything is sent is a local one.
        m_listener.onEndpointChecked(inconclusiveEnd);
        return;
    }
    std::string request;
    m_codec.writeStatusCheck(check, request);
    const auto filter = [](const ResponseHead & /*head*/) { return true; };
    const auto isOverdue = std::make_shared<bool>(false);
    const auto reportTimeout = [this, check, inconclusiveEnd] {
        // An answer may wait in the socket while this thread is held up.
        if (m_loop.now() >= check.deadline + maxCheckDelay)
            m_listener.onEndpointChecked(inconclusiveEnd);
        else
            m_listener.onEndpointChecked({.endpoint = check.endpoint});
    };
    const auto callback = [this, check, isOverdue,
                           reportTimeout](const EndpointCall::Response &response) {
        if (!response.hasTimedOut)
            m_listener.onEndpointChecked(
                    {.endpoint = check.endpoint, .isResponsive = true, .isLate = *isOverdue});
        else if (!*isOverdue)
            reportTimeout();
    };
    m_endpointCalls.push_back(std::make_unique<EndpointCall>(
            m_loop, std::move(connection), std::max(check.deadline, check.watchUntil), filter,
            callback));
    m_endpointCalls.back()->setOverdueHandler(check.deadline, [isOverdue, reportTimeout] {
        *isOverdue = true;
        reportTimeout();
    });
    m_endpointCalls.back()->send(request);
}

bool TrafficRelay::closesAfterChecks(const EndpointId &endpoint) const
{
    return m_closingEndpoints.contains(endpoint);
}

void TrafficRelay::startSeparateCheck(const Attempt &attempt)
{
    const AttemptStart &start = attempt.start();
    const auto callback = [this, endpoint = start.endpoint, request = start.request,
                           number = start.attempt](const EndpointCall::Response &response) {
        if (response.keepsConnection)
            m_closingEndpoints.erase(endpoint);
        Exchange *exchange = findExchange(request);
        if (exchange == nullptr)
            return;
        const auto entry = exchange->attempts.find(number);
        if (entry != exchange->attempts.end() && !entry->second->hasEnded())
            entry->second->finishSeparateCheck(response.status, response.body);
    };
    std::error_code error;
    auto connection = m_endpointPool.connect(start.endpoint, start.address, error);
    if (!connection) {
        callback({.reason = error.message()});
        return;
    }
    std::string check;
    m_codec.writeStatusCheck({.endpoint = start.endpoint, .address = start.address}, check);
    const auto filter = [](const ResponseHead & /*head*/) { return true; };
    m_endpointCalls.push_back(std::make_unique<EndpointCall>(
            m_loop, std::move(connection), start.connectDeadline, filter, callback));
    m_endpointCalls.back()->send(check);
}

} // namespace monsoonsail
