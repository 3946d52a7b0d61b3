#include "drivers/traffic/attempt.h"

#include <limits>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::uint32_t maxHeaderBytes = 64U * 1024;
/// For a response body that is buffered until it is complete.
constexpr std::uint64_t maxBufferedBodyBytes = 16ULL * 1024 * 1024;
/// For one event of a stream.
constexpr std::size_t maxEventBytes = 1024UL * 1024;
/// For input that the parser has not consumed, such as a field or a chunk header without an end.
constexpr std::size_t maxUnparsedBytes = 2UL * maxHeaderBytes;
/// For interim responses and responses to other requests that precede the expected one.
constexpr unsigned maxSkippedResponses = 16;
constexpr std::uint64_t maxSkippedBytes = 1024ULL * 1024;

constexpr int statusOk = 200;

/// Percentage of the endpoint's idle timeout for which an idle connection is reused. The endpoint
/// starts its timer earlier than this instance does, and its close takes time to arrive.
constexpr int trustedKeepAlivePercent = 75;

bool isEventStream(const ResponseHead &head)
{
    const auto type = head.fields.find("Content-Type");
    return type && type->starts_with("text/event-stream");
}

} // namespace

Attempt::Attempt(AttemptStart start, std::string callerId, const WireCodec &codec,
                 AttemptOwner &owner, ResponseMemory &memory, EventLoop &loop)
    : m_start(std::move(start))
    , m_callerId(std::move(callerId))
    , m_codec(codec)
    , m_owner(owner)
    , m_memory(memory)
    , m_loop(loop)
{ }

Attempt::~Attempt()
{
    cancel();
}

void Attempt::send(std::shared_ptr<EndpointConnection> connection, std::string request,
                   bool connectionReused, bool isHeadRequest)
{
    m_connection = std::move(connection);
    m_connectionReused = connectionReused;
    m_isHeadRequest = isHeadRequest;
    m_pendingRequest = std::move(request);
    startReader();
    m_connection->setUser(this);
    m_connectTimer = m_loop.timers().schedule(m_start.connectDeadline, [this] {
        reportEnd(AttemptResult::NotSent,
                  isChecking() ? "the endpoint does not name its start" : "connect timeout");
    });
    if (m_connection->isConnected())
        onConnected();
}

void Attempt::cancel()
{
    m_ended = true;
    m_loop.timers().cancel(m_connectTimer);
    if (m_connection) {
        m_connection->setUser(nullptr);
        // After an orderly close, the kernel would go on delivering the request, for seconds if the
        // endpoint can't be reached meanwhile, and the endpoint would run it.
        if (m_reader->isComplete())
            m_connection->close();
        else
            m_connection->reset();
        m_connection.reset();
    }
    // The attempt may be destroyed later.
    std::string().swap(m_body);
    std::string().swap(m_preamble);
    m_eventSplitter = {};
    updateHeldBytes(0);
}

void Attempt::endForMemory()
{
    reportTooLong("the responses in progress hold too much memory");
}

std::size_t Attempt::unsentRequestBytes() const
{
    return m_pendingRequest.size() + (m_connection ? m_connection->unsentBytes() : 0);
}

void Attempt::onConnected()
{
    if (m_start.checksIncarnation && !m_connection->isIncarnationChecked)
        beginIncarnationCheck();
    else
        sendRequest();
}

void Attempt::sendRequest()
{
    m_loop.timers().cancel(m_connectTimer);
    if (m_loop.now() >= m_start.connectDeadline) {
        reportEnd(AttemptResult::NotSent, "connected after the connect deadline");
        return;
    }
    // From now on, what is sent belongs to the request.
    m_connection->setUser(this);
    m_sentAt = m_loop.now();
    m_connection->send(std::exchange(m_pendingRequest, {}));
}

std::optional<Instant> Attempt::endpointClosedUntil() const
{
    if (!m_responseTraits.retryAfter)
        return std::nullopt;
    return m_headReceivedAt + *m_responseTraits.retryAfter;
}

AnswerFraming Attempt::responseFraming() const
{
    if (m_mode != Mode::Buffered && m_mode != Mode::Relayed)
        return AnswerFraming::None;
    if (m_reader->endsAtConnectionClose())
        return AnswerFraming::Connection;
    return m_reader->isChunked() ? AnswerFraming::Chunks : AnswerFraming::Length;
}

void Attempt::startReader()
{
    m_mode = Mode::AwaitingHead;
    // The reader has no limit for the body: streams are limited by their deadline and their caller,
    // not by their length, and whether the response is a stream is only known from its head.
    // isWithinLimits() checks buffered bodies.
    m_reader.emplace(maxHeaderBytes, std::numeric_limits<std::uint64_t>::max());
    if (m_isHeadRequest)
        m_reader->expectNoBody();
    m_reader->setBodySink([this](std::string_view bytes) { processBody(bytes); });
}

void Attempt::onBytesReceived(std::string &input)
{
    if (m_mode == Mode::CheckingSeparately) {
        m_connection->close();
        reportEnd(AttemptResult::NotSent, "the endpoint sent bytes without a request");
        return;
    }
    while (!m_ended && !input.empty()) {
        std::error_code error;
        const std::size_t bytesUsed = m_reader->read(input, error);
        if (m_ended)
            return;
        input.erase(0, bytesUsed);
        if (error) {
            reportEnd(AttemptResult::Interrupted,
                      "the response is not valid HTTP: " + error.message());
            return;
        }
        if (!isWithinLimits(input)) {
            reportTooLong("the response is too long");
            return;
        }
        updateHeldBytes(input.size());
        if (m_memory.isExceeded())
            m_owner.onMemoryExceeded();
        if (m_ended)
            return;
        if (m_mode == Mode::AwaitingHead && m_reader->isHeadComplete())
            processHead();
        if (m_mode == Mode::Relayed && !relayEvents())
            return;
        if (!m_reader->isComplete())
            return;
        if (m_mode == Mode::CheckingIncarnation)
            finishIncarnationCheck();
        else if (finishResponse())
            return;
    }
}

bool Attempt::isWithinLimits(const std::string &input)
{
    return input.size() <= maxUnparsedBytes && m_body.size() <= maxBufferedBodyBytes
            && m_eventSplitter.remainder().size() <= maxEventBytes
            && m_preamble.size() <= maxEventBytes && m_skippedBytes <= maxSkippedBytes
            && m_skippedResponses <= maxSkippedResponses;
}

void Attempt::updateHeldBytes(std::size_t unparsedBytes)
{
    const std::size_t held =
            m_body.size() + m_eventSplitter.remainder().size() + m_preamble.size() + unparsedBytes;
    m_memory.update(m_heldBytes, held);
    m_heldBytes = held;
}

void Attempt::reportTooLong(std::string_view reason)
{
    m_wasTooLong = true;
    reportEnd(AttemptResult::Interrupted, reason);
}

void Attempt::processHead()
{
    const ResponseHead &head = m_reader->head();
    if (head.status < minFinalStatus) {
        m_mode = Mode::Skipped;
        return;
    }
    ResponseTraits traits = m_codec.parseResponse(head);
    // What the response to another request says may be long out of date.
    if (mayRepeatTheCheck(traits) || (traits.callerId && *traits.callerId != m_callerId)) {
        m_mode = Mode::Skipped;
        return;
    }
    m_responseTraits = std::move(traits);
    m_headReceivedAt = m_loop.now();
    if (m_responseTraits.isLeaving)
        m_owner.onEndpointLeaving(m_start.endpoint);
    m_owner.onResponseHead(m_start.endpoint, m_responseTraits);
    const bool isStream = m_start.isStream && head.status == statusOk && isEventStream(head);
    m_mode = isStream ? Mode::Relayed : Mode::Buffered;
}

/// Whether the response may be a repeat of that to the check of the incarnation, which has no id.
/// The repeat may come at any later time, also where the response to the next request is due.
bool Attempt::mayRepeatTheCheck(const ResponseTraits &traits) const
{
    const ResponseHead &head = m_reader->head();
    return m_connection->incarnationCheckStatus == head.status
            && traits.callerId.value_or("").empty() && !isEventStream(head);
}

void Attempt::processBody(std::string_view bytes)
{
    if (m_mode == Mode::AwaitingHead)
        processHead();
    if (m_mode == Mode::Relayed)
        m_eventSplitter.add(bytes);
    else if (m_mode == Mode::Buffered || m_mode == Mode::CheckingIncarnation)
        m_body.append(bytes);
    else
        m_skippedBytes += bytes.size();
}

bool Attempt::relayEvents()
{
    while (const auto block = m_eventSplitter.next()) {
        // Only the end of the connection ends this stream, so the endpoint may have failed and
        // begun another response. No field of an event has such a name.
        if (m_reader->endsAtConnectionClose() && m_eventSplitter.hasStatusLine()) {
            reportEnd(AttemptResult::Interrupted, "the stream contains another response");
            return false;
        }
        const bool isEvent = m_eventSplitter.isEvent();
        if (!m_hasEvents && (!isEvent || !m_preamble.empty()))
            m_preamble.append(*block);
        m_hasEvents = m_hasEvents || isEvent;
        if (!m_hasEvents)
            continue;
        const std::string preamble = std::exchange(m_preamble, {});
        m_owner.onStreamBlock(*this,
                              {.text = preamble.empty() ? *block : preamble,
                               .id = m_eventSplitter.id(),
                               .isEvent = isEvent});
        if (m_ended)
            return false;
    }
    return true;
}

/// Returns whether the attempt has ended. After a skipped response, the next one is expected.
bool Attempt::finishResponse()
{
    if (m_mode != Mode::Skipped) {
        reportResponse();
        return true;
    }
    if (!m_reader->head().keepAlive && m_reader->head().status >= minFinalStatus) {
        reportEnd(AttemptResult::Interrupted,
                  "the connection ended after the response to another request");
        return true;
    }
    ++m_skippedResponses;
    startReader();
    return false;
}

/// Whether a stream without events, which ends with its connection, has ended and not broken off.
bool Attempt::isEmptyStreamWhole() const
{
    // A caller that resumes a stream may have had its last event. A stream that this instance
    // resumes has broken off before and is not known to have ended there. An endpoint that sends a
    // comment has something to say yet.
    return m_start.resumeAfter && m_preamble.empty() && !m_owner.hasRelayedEvents(m_start.request);
}

bool Attempt::endsInsideAnEvent() const
{
    return m_reader->endsAtConnectionClose() ? !m_eventSplitter.remainder().empty()
                                             : m_eventSplitter.hasPartialEvent();
}

/// Passes on what follows the last event, or all if there is none.
void Attempt::passOnRemainder()
{
    const std::string text = m_preamble + std::string(m_eventSplitter.remainder());
    if (!text.empty())
        m_owner.onStreamBlock(*this, {.text = text});
}

void Attempt::reportResponse()
{
    if (m_mode == Mode::Relayed && endsInsideAnEvent())
        reportEnd(AttemptResult::Interrupted, "the stream ended inside an event");
    else if (m_mode == Mode::Relayed && !m_hasEvents && m_reader->endsAtConnectionClose()
             && !isEmptyStreamWhole())
        reportEnd(AttemptResult::Interrupted, "the stream ended before its first event");
    else if (m_mode == Mode::Relayed) {
        passOnRemainder();
        // An endpoint that stops a run closes its stream in order as well.
        const bool isEndUncertain =
                m_reader->endsAtConnectionClose() && m_owner.mayHaveBeenStopped(*this);
        reportEnd(isEndUncertain ? AttemptResult::ClosedAfterStopOrder : AttemptResult::Streamed,
                  {});
    } else if (m_responseTraits.isMisdirected)
        reportEnd(AttemptResult::Misdirected, "another endpoint has the address");
    else if (m_responseTraits.wasNotRun)
        reportEnd(AttemptResult::Declined, "the endpoint declined the request");
    else
        reportEnd(AttemptResult::Answered, {});
}

void Attempt::onDisconnected(ConnectionEnd end, std::string_view reason)
{
    m_wasDisconnected = end != ConnectionEnd::Failed;
    // No request can follow a response to the check that ends with its connection.
    if (m_mode == Mode::CheckingIncarnation && m_reader->isHeadComplete()
        && m_reader->endsAtConnectionClose())
        m_wasClosedAfterCheck = true;
    if (!m_connection->hasSent() || m_mode == Mode::CheckingIncarnation) {
        reportEnd(AttemptResult::NotSent, reason);
        return;
    }
    // A response without a length is complete when the endpoint closes the connection without an
    // error.
    std::error_code error;
    if (end == ConnectionEnd::Orderly && m_reader->isHeadComplete() && !m_reader->isComplete()
        && m_mode != Mode::Skipped && m_reader->endsAtConnectionClose()) {
        m_reader->readEndOfStream(error);
        if (!error && !m_ended && (m_mode != Mode::Relayed || relayEvents())) {
            reportResponse();
            return;
        }
    }
    reportEnd(AttemptResult::Interrupted, reason);
}

void Attempt::reportEnd(AttemptResult result, std::string_view reason)
{
    if (std::exchange(m_ended, true))
        return;
    // Only the check was sent, not the request.
    if (m_mode == Mode::CheckingIncarnation && result == AttemptResult::Interrupted)
        result = AttemptResult::NotSent;
    m_owner.onAttemptEnded(*this, result, reason);
}

std::shared_ptr<EndpointConnection> Attempt::releaseReusableConnection()
{
    // A response may be repeated later. Without an id, it would be taken for the next one.
    const bool namesRequest = m_responseTraits.callerId && !m_responseTraits.callerId->empty();
    const bool allowsReuse = m_reader->isComplete() && m_reader->head().keepAlive
            && !m_reader->endsAtConnectionClose() && namesRequest;
    if (!allowsReuse || !m_connection->isOpen() || !m_connection->hasEmptyBuffers())
        return nullptr;
    m_connection->setUser(nullptr);
    m_connection->lastUsedAt = m_loop.now();
    if (m_responseTraits.keepAliveTimeout)
        m_connection->keepAliveUntil = m_loop.now()
                + Duration(*m_responseTraits.keepAliveTimeout) * trustedKeepAlivePercent / 100;
    return std::exchange(m_connection, nullptr);
}

} // namespace monsoonsail
