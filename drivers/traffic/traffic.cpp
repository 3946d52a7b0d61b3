#include "drivers/traffic/traffic.h"

#include "drivers/traffic/answer_writer.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Progress of streams is reported in batches, so that the control thread does not wake for each
/// event. Short against the pauses that are noticed as silence (hundreds of milliseconds).
constexpr Duration progressInterval = std::chrono::milliseconds(40);
/// How often overdue connections are looked for.
constexpr Duration sweepInterval = std::chrono::milliseconds(250);

bool isHead(const RequestHead &head)
{
    return head.method == "HEAD";
}

} // namespace

Traffic::Traffic(EventLoop &loop, const WireCodec &codec, TrafficListener &listener)
    : m_loop(loop)
    , m_codec(codec)
    , m_listener(listener)
    , m_endpoints(loop)
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
}

Traffic::~Traffic()
{
    m_loop.timers().cancel(m_sweepTimer);
    m_loop.timers().cancel(m_progressTimer);
}

void Traffic::listen(std::string_view address)
{
    m_callers = std::make_unique<CallerListener>(m_loop, address, [this](Socket socket) {
        m_connections.insert(std::make_shared<CallerConnection>(
                m_loop, std::move(socket), static_cast<CallerConnectionOwner &>(*this)));
    });
}

void Traffic::received(CallerConnection &connection, RequestHead head, std::string body,
                       Instant headAt)
{
    RequestArrival arrival{.number = ++m_lastRequest, .arrivedAt = headAt};
    const ErrorKind error = m_codec.describe(head, arrival);
    auto exchange = std::make_unique<Exchange>();
    exchange->number = arrival.number;
    exchange->callerId = arrival.callerId;
    exchange->head = std::move(head);
    exchange->body = std::move(body);
    exchange->caller = connection.shared_from_this();
    m_requestOf[&connection] = arrival.number;
    m_exchanges[arrival.number] = std::move(exchange);
    if (error != ErrorKind::None)
        refuse({.request = arrival.number, .kind = error});
    else
        m_listener.arrived(arrival);
}

void Traffic::callerGone(CallerConnection &connection)
{
    const auto request = m_requestOf.find(&connection);
    if (request == m_requestOf.end())
        return;
    const RequestNumber number = request->second;
    m_requestOf.erase(request);
    if (Exchange *exchange = find(number)) {
        exchange->caller.reset();
        m_listener.callerGone(number);
    }
}

void Traffic::closed(CallerConnection &connection)
{
    m_connections.erase(connection.shared_from_this());
}

void Traffic::start(const AttemptStart &start)
{
    Exchange *exchange = find(start.request);
    if (exchange == nullptr)
        return;
    auto created = std::make_unique<Attempt>(start, exchange->callerId, m_codec,
                                             static_cast<AttemptOwner &>(*this), m_loop);
    Attempt &attempt = *created;
    exchange->attempts[start.attempt] = std::move(created);
    bool reused = false;
    std::string reason;
    std::shared_ptr<EndpointConnection> connection = connect(start, reused, reason);
    if (!connection) {
        ended(attempt, AttemptResult::NotSent, reason);
        return;
    }
    std::string request;
    m_codec.writeForwarded(exchange->head, start, exchange->body.size(), m_loop.now(), request);
    request.append(exchange->body);
    attempt.begin(std::move(connection), std::move(request), reused, isHead(exchange->head));
}

std::shared_ptr<EndpointConnection> Traffic::connect(const AttemptStart &start, bool &reused,
                                                     std::string &reason)
{
    if (!start.requiresNewConnection) {
        if (auto kept = m_endpoints.take(start.endpoint, start.connectionUsedAfter)) {
            reused = true;
            return kept;
        }
    }
    std::error_code error;
    auto connection = m_endpoints.open(start.endpoint, start.address, error);
    if (error)
        reason = "cannot connect: " + error.message();
    return connection;
}

void Traffic::cancel(RequestNumber request, AttemptNumber attempt)
{
    if (Exchange *exchange = find(request))
        retire(*exchange, attempt);
}

void Traffic::move(const RunMove &move)
{
    RunMoveEnd end{.request = move.request, .attempt = move.attempt};
    const Exchange *exchange = find(move.request);
    if (exchange == nullptr)
        return;
    std::shared_ptr<EndpointConnection> connection = m_endpoints.take(move.source, Instant::min());
    std::error_code error;
    if (!connection)
        connection = m_endpoints.open(move.source, move.sourceAddress, error);
    if (!connection) {
        end.reason = error.message();
        m_listener.moved(end);
        return;
    }
    std::string request;
    m_codec.writeMove(exchange->callerId, move, request);
    const auto done = [this, end](const EndpointCall::Answer &answer) mutable {
        end.reason = answer.reason;
        if (answer.status != 0)
            m_codec.readMove(answer.status, answer.body, end);
        m_listener.moved(end);
    };
    m_calls.push_back(
            std::make_unique<EndpointCall>(m_loop, std::move(connection), move.deadline, done));
    m_calls.back()->send(request);
}

void Traffic::relay(Attempt &attempt, const AnswerHead &head, std::string_view event,
                    std::optional<EventId> id)
{
    Exchange *exchange = find(attempt.start().request);
    if (exchange == nullptr || !exchange->caller)
        return;
    // An endpoint that repeats events after a resumption must not have them passed on twice.
    if (id && exchange->lastEvent && *id <= *exchange->lastEvent)
        return;
    std::string output;
    if (!exchange->answerStarted) {
        exchange->answerStarted = true;
        appendStreamHead(head, exchange->caller->mayKeep(), output);
    }
    exchange->relayedAttempt = attempt.start().attempt;
    appendChunk(event, output);
    if (id)
        exchange->lastEvent = id;
    StreamProgress &progress = exchange->unreported;
    progress.request = exchange->number;
    progress.attempt = attempt.start().attempt;
    if (progress.events == 0)
        progress.firstEventAt = m_loop.now();
    else
        progress.longestPause =
                std::max(progress.longestPause, m_loop.now() - progress.lastEventAt);
    ++progress.events;
    progress.lastEvent = exchange->lastEvent.value_or(0);
    progress.lastEventAt = m_loop.now();
    if (m_progressed.empty()) {
        m_progressTimer = m_loop.timers().schedule(m_loop.now() + progressInterval,
                                                   [this] { reportProgress(); });
    }
    m_progressed.insert(exchange->number);
    // A failed write drops the connection from the exchange.
    const auto caller = exchange->caller;
    caller->write(output);
}

void Traffic::endpointLeaves(const EndpointId &endpoint)
{
    m_listener.endpointLeaves(endpoint);
}

void Traffic::ended(Attempt &attempt, AttemptResult result, std::string_view reason)
{
    Exchange *exchange = find(attempt.start().request);
    if (exchange == nullptr)
        return;
    reportProgress();
    AttemptEnd end{.request = attempt.start().request,
                   .attempt = attempt.start().attempt,
                   .result = result,
                   .lastEvent = exchange->lastEvent,
                   .reason = std::string(reason),
                   .closedUntil = attempt.closedUntil(),
                   .sentAt = attempt.sentAt(),
                   .connectionReused = attempt.connectionReused()};
    const bool hasAnswer = result == AttemptResult::Answered || result == AttemptResult::Streamed
            || result == AttemptResult::Declined || result == AttemptResult::Misdirected;
    if (hasAnswer) {
        end.status = attempt.answerHead().status;
        if (auto connection = attempt.takeReusableConnection())
            m_endpoints.keep(std::move(connection));
    }
    if (result == AttemptResult::Streamed && exchange->caller) {
        std::string output;
        // A stream without any event has not started its answer yet.
        if (!std::exchange(exchange->answerStarted, true))
            appendStreamHead(attempt.answerHead(), exchange->caller->mayKeep(), output);
        appendLastChunk(output);
        const auto caller = std::exchange(exchange->caller, nullptr);
        m_requestOf.erase(caller.get());
        const bool keep = caller->mayKeep();
        caller->write(output);
        caller->endAnswer(keep);
    }
    // The body of a whole answer is needed until deliver().
    if (result != AttemptResult::Answered)
        retire(*exchange, attempt.start().attempt);
    m_listener.ended(end);
}

void Traffic::refuse(const Refusal &refusal)
{
    Exchange *exchange = find(refusal.request);
    if (exchange == nullptr)
        return;
    if (exchange->answerStarted) {
        breakOff(refusal.request);
        return;
    }
    if (const auto caller = std::exchange(exchange->caller, nullptr)) {
        m_requestOf.erase(caller.get());
        std::optional<std::chrono::milliseconds> retryAfter;
        if (refusal.retryAt)
            retryAfter = std::chrono::ceil<std::chrono::milliseconds>(
                    std::max(Duration::zero(), *refusal.retryAt - m_loop.now()));
        std::string ownFields;
        m_codec.writeOwnFields(exchange->head, ownFields);
        std::string output;
        const bool keep = caller->mayKeep();
        appendRefusal(refusal.kind, retryAfter, ownFields, keep, output);
        erase(refusal.request);
        caller->write(output);
        caller->endAnswer(keep);
        return;
    }
    erase(refusal.request);
}

void Traffic::deliver(RequestNumber request, AttemptNumber attempt)
{
    Exchange *exchange = find(request);
    if (exchange == nullptr)
        return;
    // A whole answer can't follow the first events of a stream.
    if (exchange->answerStarted) {
        breakOff(request);
        return;
    }
    const auto entry = exchange->attempts.find(attempt);
    const auto caller = std::exchange(exchange->caller, nullptr);
    if (caller && entry != exchange->attempts.end()) {
        m_requestOf.erase(caller.get());
        std::string output;
        const bool keep = caller->mayKeep();
        appendAnswer(entry->second->answerHead(), entry->second->answerBody(),
                     isHead(exchange->head), keep, output);
        erase(request);
        caller->write(output);
        caller->endAnswer(keep);
        return;
    }
    erase(request);
}

void Traffic::breakOff(RequestNumber request)
{
    Exchange *exchange = find(request);
    if (exchange == nullptr)
        return;
    const auto caller = std::exchange(exchange->caller, nullptr);
    if (caller)
        m_requestOf.erase(caller.get());
    erase(request);
    if (caller)
        caller->close();
}

void Traffic::finish(RequestNumber request)
{
    breakOff(request);
}

void Traffic::forget(const EndpointId &endpoint)
{
    m_endpoints.forget(endpoint);
}

void Traffic::apply(const ConnectionLimits &limits)
{
    m_limits = limits;
}

void Traffic::beginStop()
{
    m_stopping = true;
}

Exchange *Traffic::find(RequestNumber request)
{
    const auto entry = m_exchanges.find(request);
    return entry == m_exchanges.end() ? nullptr : entry->second.get();
}

void Traffic::retire(Exchange &exchange, AttemptNumber attempt)
{
    const auto entry = exchange.attempts.find(attempt);
    if (entry == exchange.attempts.end())
        return;
    entry->second->cancel();
    m_retired.push_back(std::move(entry->second));
    exchange.attempts.erase(entry);
}

void Traffic::erase(RequestNumber request)
{
    const auto entry = m_exchanges.find(request);
    if (entry == m_exchanges.end())
        return;
    Exchange &exchange = *entry->second;
    while (!exchange.attempts.empty())
        retire(exchange, exchange.attempts.begin()->first);
    m_progressed.erase(request);
    m_exchanges.erase(entry);
}

void Traffic::reportProgress()
{
    if (m_progressed.empty())
        return;
    m_loop.timers().cancel(m_progressTimer);
    std::vector<StreamProgress> streams;
    for (const RequestNumber request : m_progressed) {
        if (Exchange *exchange = find(request))
            streams.push_back(std::exchange(exchange->unreported, {}));
    }
    m_progressed.clear();
    m_listener.progressed(streams);
}

void Traffic::sweep()
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
    m_retired.clear();
    std::erase_if(m_calls, [](const auto &call) { return call->isOver(); });
    m_endpoints.expire(m_loop.now());
    const std::vector<std::shared_ptr<CallerConnection>> connections(m_connections.begin(),
                                                                     m_connections.end());
    for (const auto &connection : connections)
        connection->expire(m_loop.now());
}

} // namespace monsoonsail
