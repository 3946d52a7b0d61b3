#include "drivers/traffic/response_writer.h"
#include "drivers/traffic/traffic_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

// The part of the traffic relay that passes streams on, event by event.

namespace monsoonsail {

namespace {
/// Progress of streams is reported in batches, so that the control thread is not woken for each
/// event. Short compared with the pauses that count as silence (hundreds of milliseconds).
constexpr Duration progressInterval = std::chrono::milliseconds(40);
} // namespace

void TrafficRelay::onStreamBlock(Attempt &attempt, const StreamBlock &block)
{
    Exchange *exchange = findExchange(attempt.start().request);
    if (exchange == nullptr || !exchange->caller)
        return;
    // A later attempt goes on after the last event that was passed on, so no other may follow.
    if (hasLaterAttempt(*exchange, attempt)) {
        exchange->heldBlocks[attempt.start().attempt].push_back(
                {.text = std::string(block.text), .id = block.id, .isEvent = block.isEvent});
        return;
    }
    passOn(*exchange, attempt, block);
}

void TrafficRelay::passOn(Exchange &exchange, const Attempt &attempt, const StreamBlock &block)
{
    // After a resumption, an endpoint may repeat events that the caller already has.
    if (block.id && exchange.lastEventId && *block.id <= *exchange.lastEventId) {
        endEarlierAttempts(exchange, attempt);
        return;
    }
    std::string output;
    if (!exchange.isResponseStarted) {
        exchange.isResponseStarted = true;
        appendStreamHead(attempt.responseHead(), exchange.caller->mayKeepAlive(), output);
    }
    appendChunk(block.text, output);
    // A failed write removes the connection from the exchange.
    const auto caller = exchange.caller;
    if (block.isEvent) {
        recordEvent(exchange, attempt, block.id);
        endEarlierAttempts(exchange, attempt);
    }
    caller->write(output);
}

void TrafficRelay::recordEvent(Exchange &exchange, const Attempt &attempt,
                               std::optional<EventId> id)
{
    const bool isFirst = !exchange.software;
    if (id)
        exchange.lastEventId = id;
    exchange.software = attempt.start().software;
    StreamProgress &progress = exchange.unreportedProgress;
    progress.request = exchange.number;
    progress.attempt = attempt.start().attempt;
    if (progress.events == 0)
        progress.firstEventAt = m_loop.now();
    else
        progress.longestPause =
                std::max(progress.longestPause, m_loop.now() - progress.lastEventAt);
    ++progress.events;
    progress.lastEvent = exchange.lastEventId;
    progress.lastEventAt = m_loop.now();
    if (m_requestsWithProgress.empty()) {
        m_progressTimer = m_loop.timers().schedule(m_loop.now() + progressInterval,
                                                   [this] { reportProgress(); });
    }
    m_requestsWithProgress.insert(exchange.number);
    // Until the listener knows that a stream has begun, its caller can't take it up elsewhere.
    if (isFirst)
        reportProgress();
}

bool TrafficRelay::hasRelayedEvents(RequestNumber request) const
{
    const Exchange *exchange = findExchange(request);
    return exchange != nullptr && exchange->isResponseStarted;
}

bool TrafficRelay::mayHaveBeenStopped(const Attempt &attempt) const
{
    const Exchange *exchange = findExchange(attempt.start().request);
    return exchange != nullptr && exchange->stoppedEndpoints.contains(attempt.start().endpoint);
}

void TrafficRelay::endStream(RequestNumber request)
{
    Exchange *exchange = findExchange(request);
    if (exchange == nullptr)
        return;
    if (exchange->isResponseStarted)
        completeStream(*exchange, {});
    else
        abortAnswer(request);
}

void TrafficRelay::completeStream(Exchange &exchange, std::string output)
{
    if (!exchange.caller)
        return;
    appendLastChunk(output);
    const auto caller = std::exchange(exchange.caller, nullptr);
    m_requestsByCaller.erase(caller.get());
    const bool keepAlive = caller->mayKeepAlive();
    caller->write(output);
    caller->endResponse(keepAlive);
}

// Only one attempt is the source of a stream's events: the latest one that has begun.
void TrafficRelay::endEarlierAttempts(Exchange &exchange, const Attempt &begun)
{
    std::vector<Attempt *> earlierAttempts;
    for (const auto &[number, attempt] : exchange.attempts) {
        if (number < begun.start().attempt && !attempt->hasEnded())
            earlierAttempts.push_back(attempt.get());
    }
    for (Attempt *attempt : earlierAttempts) {
        const bool wasSent = attempt->sentAt() != Instant();
        onAttemptEnded(*attempt, wasSent ? AttemptResult::Interrupted : AttemptResult::NotSent,
                       "a later attempt has begun");
    }
}

bool TrafficRelay::hasLaterAttempt(const Exchange &exchange, const Attempt &attempt)
{
    return std::ranges::any_of(exchange.attempts, [&attempt](const auto &entry) {
        return entry.first > attempt.start().attempt && !entry.second->hasEnded();
    });
}

void TrafficRelay::passOnHeldBlocks(Exchange &exchange, const Attempt &attempt)
{
    const auto held = exchange.heldBlocks.extract(attempt.start().attempt);
    if (held.empty())
        return;
    for (const HeldBlock &block : held.mapped()) {
        if (exchange.caller)
            passOn(exchange, attempt,
                   {.text = block.text, .id = block.id, .isEvent = block.isEvent});
    }
}

void TrafficRelay::reportProgress()
{
    if (m_requestsWithProgress.empty())
        return;
    m_loop.timers().cancel(m_progressTimer);
    std::vector<StreamProgress> streams;
    for (const RequestNumber request : m_requestsWithProgress) {
        if (Exchange *exchange = findExchange(request))
            streams.push_back(std::exchange(exchange->unreportedProgress, {}));
    }
    m_requestsWithProgress.clear();
    m_listener.onStreamsProgressed(streams);
}

} // namespace monsoonsail
