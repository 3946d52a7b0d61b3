#include "drivers/traffic/traffic_relay.h"

#include "drivers/traffic/response_writer.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Interval between checks for connections that have timed out.
constexpr Duration sweepInterval = std::chrono::milliseconds(250);

bool isHeadRequest(const RequestHead &head)
{
    return head.method == "HEAD";
}

} // namespace

TrafficRelay::TrafficRelay(EventLoop &loop, const WireCodec &codec, TrafficListener &listener,
                           std::size_t maxResponseBytes, const CallerLimits &callerLimits,
                           CallerFaults &callerFaults)
    : m_loop(loop)
    , m_codec(codec)
    , m_listener(listener)
    , m_responseMemory(maxResponseBytes)
    , m_callers(loop, *this, callerLimits, callerFaults)
    , m_endpointPool(loop)
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
}

TrafficRelay::~TrafficRelay()
{
    m_loop.timers().cancel(m_sweepTimer);
    m_loop.timers().cancel(m_progressTimer);
}

void TrafficRelay::listen(std::string_view address)
{
    m_callerListener = std::make_unique<CallerListener>(
            m_loop, address, [this](Socket socket) { m_callers.accept(std::move(socket)); },
            [this] { return m_callers.closeLongestWaiting(CallerFault::NoDescriptors); });
}

void TrafficRelay::onRequest(CallerConnection &connection, RequestHead head, std::string body,
                             Instant headReceivedAt)
{
    RequestArrival arrival{.number = ++m_lastRequest, .arrivedAt = headReceivedAt};
    const ErrorKind error = m_codec.parseRequest(head, arrival);
    auto exchange = std::make_unique<Exchange>();
    exchange->number = arrival.number;
    exchange->callerId = arrival.callerId;
    exchange->lastEventId = arrival.resumeAfter;
    exchange->head = std::move(head);
    exchange->body = std::move(body);
    exchange->caller = connection.shared_from_this();
    m_requestsByCaller[&connection] = arrival.number;
    countRequestBytes(*exchange);
    m_exchanges[arrival.number] = std::move(exchange);
    if (error != ErrorKind::None)
        refuse({.request = arrival.number, .kind = error});
    else if (m_isClosing)
        refuseNewRequest(arrival.number);
    else
        m_listener.onRequestArrived(arrival);
}

void TrafficRelay::onCallerDisconnected(CallerConnection &connection)
{
    const auto request = m_requestsByCaller.find(&connection);
    if (request == m_requestsByCaller.end())
        return;
    const RequestNumber number = request->second;
    m_requestsByCaller.erase(request);
    if (Exchange *exchange = findExchange(number)) {
        exchange->caller.reset();
        m_listener.onCallerDisconnected(number);
    }
}

void TrafficRelay::onConnectionClosed(CallerConnection &connection)
{
    m_callers.remove(connection);
    if (m_isClosing)
        reportCallersClosed();
}

void TrafficRelay::startAttempt(const AttemptStart &start)
{
    Exchange *exchange = findExchange(start.request);
    if (exchange == nullptr)
        return;
    auto newAttempt =
            std::make_unique<Attempt>(start, exchange->callerId, m_codec,
                                      static_cast<AttemptOwner &>(*this), m_responseMemory, m_loop);
    Attempt &attempt = *newAttempt;
    exchange->attempts[start.attempt] = std::move(newAttempt);
    bool connectionReused = false;
    std::string reason;
    // The attempt that it is to replace has gone on since the listener asked for it.
    if (exchange->attempts.size() > 1 && exchange->isResponseStarted
        && (!start.resumeAfter || exchange->lastEventId > start.resumeAfter)) {
        onAttemptEnded(attempt, AttemptResult::NotSent, "the stream has gone on");
        return;
    }
    if (exchange->software.value_or(start.software) != start.software) {
        onAttemptEnded(attempt, AttemptResult::NotSent, "the stream has another software version");
        return;
    }
    std::shared_ptr<EndpointConnection> connection =
            connect(*exchange, start, connectionReused, reason);
    if (!connection) {
        onAttemptEnded(attempt, AttemptResult::NotSent, reason);
        return;
    }
    std::string request;
    m_codec.writeForwardedHead(exchange->head, start, exchange->body.size(), m_loop.now(), request);
    request.append(exchange->body);
    attempt.send(std::move(connection), std::move(request), connectionReused,
                 isHeadRequest(exchange->head));
    // Sending may have ended the request.
    if (Exchange *running = findExchange(start.request))
        countRequestBytes(*running);
}

std::shared_ptr<EndpointConnection> TrafficRelay::connect(const Exchange &exchange,
                                                          const AttemptStart &start,
                                                          bool &connectionReused,
                                                          std::string &reason)
{
    if (auto idle = m_endpointPool.takeIdle(start.endpoint, start.connectionUsedAfter,
                                            exchange.usedConnections)) {
        connectionReused = true;
        return idle;
    }
    std::error_code error;
    auto connection = m_endpointPool.connect(start.endpoint, start.address, error);
    // A caller that waits is worth less than a request that is to run.
    if (error == std::errc::too_many_files_open
        && m_callers.closeLongestWaiting(CallerFault::NoDescriptors))
        connection = m_endpointPool.connect(start.endpoint, start.address, error);
    if (error)
        reason = "cannot connect: " + error.message();
    return connection;
}

void TrafficRelay::cancelAttempt(RequestNumber request, AttemptNumber attempt)
{
    if (Exchange *exchange = findExchange(request))
        dropAttempt(*exchange, attempt);
}

void TrafficRelay::onResponseHead(const EndpointId &endpoint, const ResponseTraits &traits)
{
    const bool namesLimit = traits.requestsPerSecond || traits.hasInvalidLimit;
    if (!namesLimit && !m_limitedEndpoints.contains(endpoint))
        return;
    if (traits.requestsPerSecond)
        m_limitedEndpoints.insert(endpoint);
    else if (!traits.hasInvalidLimit)
        m_limitedEndpoints.erase(endpoint);
    m_listener.onEndpointLimitReported({.endpoint = endpoint,
                                        .requestsPerSecond = traits.requestsPerSecond,
                                        .isInvalid = traits.hasInvalidLimit,
                                        .receivedAt = m_loop.now()});
}

void TrafficRelay::onEndpointLeaving(const EndpointId &endpoint)
{
    m_listener.onEndpointLeaving(endpoint);
}

void TrafficRelay::onAttemptEnded(Attempt &attempt, AttemptResult result, std::string_view reason)
{
    Exchange *exchange = findExchange(attempt.start().request);
    if (exchange == nullptr)
        return;
    if (attempt.wasClosedAfterCheck())
        m_closingEndpoints.insert(attempt.start().endpoint);
    // Its last events are held back, and the stream goes on in the later attempt.
    const bool isUncertainAndReplaced =
            result == AttemptResult::ClosedAfterStopOrder && hasLaterAttempt(*exchange, attempt);
    if (isUncertainAndReplaced) {
        result = AttemptResult::Interrupted;
        reason = "an order to stop the run may have ended the stream";
    }
    // A whole answer needs no replacement.
    if (result == AttemptResult::Streamed)
        passOnHeldBlocks(*exchange, attempt);
    AttemptEnd end{.request = attempt.start().request,
                   .attempt = attempt.start().attempt,
                   .result = result,
                   .framing = attempt.responseFraming(),
                   .reason = std::string(reason),
                   .closedUntil = attempt.endpointClosedUntil(),
                   .wasDisconnected = attempt.wasDisconnected() && !isUncertainAndReplaced,
                   .wasTooLong = attempt.wasTooLong(),
                   .sentAt = attempt.sentAt(),
                   .connectionReused = attempt.connectionReused()};
    const bool hasResponse = result == AttemptResult::Answered || result == AttemptResult::Streamed
            || result == AttemptResult::Declined || result == AttemptResult::Misdirected;
    if (hasResponse || result == AttemptResult::ClosedAfterStopOrder)
        end.status = attempt.responseHead().status;
    if (hasResponse) {
        if (auto connection = attempt.releaseReusableConnection()) {
            exchange->usedConnections.push_back(connection);
            m_endpointPool.addIdle(std::move(connection));
        }
    }
    if (result == AttemptResult::Streamed && exchange->caller) {
        std::string output;
        // The head is normally sent with the first event; a stream may end without one.
        if (!std::exchange(exchange->isResponseStarted, true))
            appendStreamHead(attempt.responseHead(), exchange->caller->mayKeepAlive(), output);
        completeStream(*exchange, output);
    }
    // The body of a buffered response is needed until deliverAnswer(), unless events were passed on
    // that it can't follow.
    if (result != AttemptResult::Answered || exchange->isResponseStarted)
        dropAttempt(*exchange, attempt.start().attempt);
    end.lastEvent = exchange->lastEventId;
    reportProgress();
    m_listener.onAttemptEnded(end);
}

void TrafficRelay::refuse(const Refusal &refusal)
{
    Exchange *exchange = findExchange(refusal.request);
    if (exchange == nullptr)
        return;
    if (exchange->isResponseStarted) {
        abortAnswer(refusal.request);
        return;
    }
    if (const auto caller = std::exchange(exchange->caller, nullptr)) {
        m_requestsByCaller.erase(caller.get());
        std::optional<std::chrono::milliseconds> retryAfter;
        if (refusal.retryAt)
            retryAfter = std::chrono::ceil<std::chrono::milliseconds>(
                    std::max(Duration::zero(), *refusal.retryAt - m_loop.now()));
        std::string extraFields;
        m_codec.writeErrorResponseFields(exchange->head, extraFields);
        std::string output;
        const bool keepAlive = caller->mayKeepAlive();
        appendErrorResponse(refusal.kind, retryAfter, extraFields, exchange->head.method == "HEAD",
                            keepAlive, output);
        eraseExchange(refusal.request);
        caller->write(output);
        caller->endResponse(keepAlive);
        return;
    }
    eraseExchange(refusal.request);
}

void TrafficRelay::deliverAnswer(RequestNumber request, AttemptNumber attempt)
{
    Exchange *exchange = findExchange(request);
    if (exchange == nullptr)
        return;
    // A buffered response can't follow events that were already sent.
    if (exchange->isResponseStarted) {
        abortAnswer(request);
        return;
    }
    const auto entry = exchange->attempts.find(attempt);
    const auto caller = std::exchange(exchange->caller, nullptr);
    if (caller && entry != exchange->attempts.end()) {
        m_requestsByCaller.erase(caller.get());
        std::string output;
        const bool keepAlive = caller->mayKeepAlive();
        appendResponse(entry->second->responseHead(), entry->second->responseBody(),
                       isHeadRequest(exchange->head), keepAlive, output);
        eraseExchange(request);
        caller->write(output);
        caller->endResponse(keepAlive);
        return;
    }
    eraseExchange(request);
}

void TrafficRelay::abortAnswer(RequestNumber request)
{
    Exchange *exchange = findExchange(request);
    if (exchange == nullptr)
        return;
    const auto caller = std::exchange(exchange->caller, nullptr);
    if (caller)
        m_requestsByCaller.erase(caller.get());
    eraseExchange(request);
    if (caller)
        caller->close();
}

void TrafficRelay::finishRequest(RequestNumber request)
{
    abortAnswer(request);
}

void TrafficRelay::closeConnections(const EndpointId &endpoint)
{
    m_endpointPool.closeIdle(endpoint);
    m_limitedEndpoints.erase(endpoint);
    m_closingEndpoints.erase(endpoint);
}

void TrafficRelay::applyLimits(const ConnectionLimits &limits)
{
    m_limits = limits;
}

void TrafficRelay::beginStop()
{
    m_stopping = true;
}

Exchange *TrafficRelay::findExchange(RequestNumber request) const
{
    const auto entry = m_exchanges.find(request);
    return entry == m_exchanges.end() ? nullptr : entry->second.get();
}

void TrafficRelay::dropAttempt(Exchange &exchange, AttemptNumber attempt)
{
    const auto entry = exchange.attempts.find(attempt);
    if (entry == exchange.attempts.end())
        return;
    entry->second->cancel();
    m_endedAttempts.push_back(std::move(entry->second));
    exchange.attempts.erase(entry);
    exchange.heldBlocks.erase(attempt);
    // Without its replacement, the latest of the others is the source again.
    const auto latest = std::find_if(exchange.attempts.rbegin(), exchange.attempts.rend(),
                                     [](const auto &other) { return !other.second->hasEnded(); });
    if (latest != exchange.attempts.rend())
        passOnHeldBlocks(exchange, *latest->second);
}

void TrafficRelay::eraseExchange(RequestNumber request)
{
    const auto entry = m_exchanges.find(request);
    if (entry == m_exchanges.end())
        return;
    Exchange &exchange = *entry->second;
    while (!exchange.attempts.empty())
        dropAttempt(exchange, exchange.attempts.begin()->first);
    m_callers.requestMemory().update(exchange.countedBytes, 0);
    m_requestsWithProgress.erase(request);
    m_exchanges.erase(entry);
}

void TrafficRelay::sweep()
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
    m_endedAttempts.clear();
    std::erase_if(m_endpointCalls, [](const auto &call) { return call->isFinished(); });
    m_endpointPool.closeExpired(m_loop.now());
    m_callers.checkTimeouts(m_loop.now());
    for (const auto &[number, exchange] : m_exchanges)
        countRequestBytes(*exchange);
}

} // namespace monsoonsail
