#include "drivers/traffic/attempt.h"

#include <limits>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::uint32_t maxHeaderBytes = 64U * 1024;
/// Body of an answer that is kept until it is whole.
constexpr std::uint64_t maxBufferedBodyBytes = 16ULL * 1024 * 1024;
/// One event of a stream.
constexpr std::size_t maxEventBytes = 1024UL * 1024;
/// Bytes that the parser has not taken: a field, or the line before a chunk, that has no end.
constexpr std::size_t maxUnparsedBytes = 2UL * maxHeaderBytes;
/// Answers to other requests, interim ones included, that are skipped before our own.
constexpr unsigned maxSkippedResponses = 16;
constexpr std::uint64_t maxSkippedBytes = 1024ULL * 1024;

constexpr int minFinalStatus = 200;
constexpr int statusOk = 200;

/// Part of the endpoint's idle timeout during which a kept connection is trusted: the endpoint's
/// clock starts earlier than ours and its close needs time to get here.
constexpr int trustedKeepAlivePercent = 75;

bool isEventStream(const ResponseHead &head)
{
    const auto type = head.fields.find("Content-Type");
    return type && type->starts_with("text/event-stream");
}

} // namespace

Attempt::Attempt(AttemptStart start, std::string callerId, const WireCodec &codec,
                 AttemptOwner &owner, EventLoop &loop)
    : m_start(std::move(start))
    , m_callerId(std::move(callerId))
    , m_codec(codec)
    , m_owner(owner)
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
    if (m_connection->isConnected()) {
        onConnected();
        return;
    }
    m_connectTimer = m_loop.timers().schedule(m_start.connectDeadline, [this] {
        reportEnd(AttemptResult::NotSent, "no connection in time");
    });
}

void Attempt::cancel()
{
    m_ended = true;
    m_loop.timers().cancel(m_connectTimer);
    if (m_connection) {
        m_connection->setUser(nullptr);
        m_connection->close();
        m_connection.reset();
    }
}

void Attempt::onConnected()
{
    m_loop.timers().cancel(m_connectTimer);
    if (m_loop.now() >= m_start.connectDeadline) {
        reportEnd(AttemptResult::NotSent, "connected too late");
        return;
    }
    m_sentAt = m_loop.now();
    m_connection->send(std::exchange(m_pendingRequest, {}));
}

std::optional<Instant> Attempt::retryNotBefore() const
{
    if (!m_responseTraits.retryAfter)
        return std::nullopt;
    return m_headReceivedAt + *m_responseTraits.retryAfter;
}

void Attempt::startReader()
{
    m_mode = Mode::AwaitingHead;
    // A stream is bounded by its deadline and its caller, not by its length, and only whether an
    // answer is a stream is known once its head is here.
    m_reader.emplace(maxHeaderBytes, std::numeric_limits<std::uint64_t>::max());
    if (m_isHeadRequest)
        m_reader->expectNoBody();
    m_reader->setBodySink([this](std::string_view bytes) { processBody(bytes); });
}

void Attempt::onBytesReceived(std::string &input)
{
    while (!m_ended && !input.empty()) {
        std::error_code error;
        const std::size_t bytesUsed = m_reader->read(input, error);
        if (m_ended)
            return;
        input.erase(0, bytesUsed);
        if (error) {
            reportEnd(AttemptResult::Interrupted, "the answer is not HTTP: " + error.message());
            return;
        }
        if (!isWithinLimits(input)) {
            reportEnd(AttemptResult::Interrupted, "the answer is too long");
            return;
        }
        if (m_mode == Mode::AwaitingHead && m_reader->isHeadComplete())
            processHead();
        if (m_mode == Mode::Relayed && !relayEvents())
            return;
        if (!m_reader->isComplete())
            return;
        if (finishResponse())
            return;
    }
}

bool Attempt::isWithinLimits(const std::string &input)
{
    return input.size() <= maxUnparsedBytes && m_body.size() <= maxBufferedBodyBytes
            && m_eventSplitter.remainderBytes() <= maxEventBytes
            && m_skippedBytes <= maxSkippedBytes && m_skippedResponses <= maxSkippedResponses;
}

void Attempt::processHead()
{
    const ResponseHead &head = m_reader->head();
    if (head.status < minFinalStatus) {
        m_mode = Mode::Skipped;
        return;
    }
    m_responseTraits = m_codec.parseResponse(head);
    m_headReceivedAt = m_loop.now();
    if (m_responseTraits.isLeaving)
        m_owner.onEndpointLeaving(m_start.endpoint);
    if (m_responseTraits.callerId && *m_responseTraits.callerId != m_callerId) {
        m_mode = Mode::Skipped;
        return;
    }
    const bool isStream = m_start.isStream && head.status == statusOk && isEventStream(head);
    m_mode = isStream ? Mode::Relayed : Mode::Buffered;
}

void Attempt::processBody(std::string_view bytes)
{
    if (m_mode == Mode::AwaitingHead)
        processHead();
    if (m_mode == Mode::Relayed)
        m_eventSplitter.add(bytes);
    else if (m_mode == Mode::Buffered)
        m_body.append(bytes);
    else
        m_skippedBytes += bytes.size();
}

bool Attempt::relayEvents()
{
    while (const auto event = m_eventSplitter.next()) {
        m_owner.onStreamEvent(*this, m_reader->head(), *event, m_eventSplitter.id());
        if (m_ended)
            return false;
    }
    return true;
}

/// Returns whether the attempt is over; otherwise the next answer is expected.
bool Attempt::finishResponse()
{
    if (m_mode != Mode::Skipped) {
        reportResponse();
        return true;
    }
    if (!m_reader->head().keepAlive && m_reader->head().status >= minFinalStatus) {
        reportEnd(AttemptResult::Interrupted, "the connection ended with another request's answer");
        return true;
    }
    ++m_skippedResponses;
    startReader();
    return false;
}

void Attempt::reportResponse()
{
    if (m_mode == Mode::Relayed && m_eventSplitter.hasRemainder())
        reportEnd(AttemptResult::Interrupted, "the stream ended within an event");
    else if (m_mode == Mode::Relayed)
        reportEnd(AttemptResult::Streamed, {});
    else if (m_responseTraits.isMisdirected)
        reportEnd(AttemptResult::Misdirected, "another endpoint has the address");
    else if (m_responseTraits.wasNotRun)
        reportEnd(AttemptResult::Declined, "the endpoint declined");
    else
        reportEnd(AttemptResult::Answered, {});
}

void Attempt::onDisconnected(bool isOrderly, std::string_view reason)
{
    if (!m_connection->hasSent()) {
        reportEnd(AttemptResult::NotSent, reason);
        return;
    }
    // An answer without a length is whole when the endpoint closes in order.
    std::error_code error;
    if (isOrderly && m_reader->isHeadComplete() && !m_reader->isComplete()
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
    m_owner.onAttemptEnded(*this, result, reason);
}

std::shared_ptr<EndpointConnection> Attempt::releaseReusableConnection()
{
    const bool isWhole = m_reader->isComplete() && m_reader->head().keepAlive
            && !m_reader->endsAtConnectionClose();
    if (!isWhole || !m_connection->isOpen() || !m_connection->isIdle())
        return nullptr;
    m_connection->setUser(nullptr);
    m_connection->lastUsedAt = m_loop.now();
    if (m_responseTraits.keepAliveTimeout)
        m_connection->keepAliveUntil = m_loop.now()
                + Duration(*m_responseTraits.keepAliveTimeout) * trustedKeepAlivePercent / 100;
    return std::exchange(m_connection, nullptr);
}

} // namespace monsoonsail
