#include "drivers/traffic/attempt.h"

#include <limits>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::uint32_t maxAnswerHeaderBytes = 64U * 1024;
/// Body of an answer that is kept until it is whole.
constexpr std::uint64_t maxAnswerBodyBytes = 16ULL * 1024 * 1024;
/// One event of a stream.
constexpr std::size_t maxEventBytes = 1024UL * 1024;
/// Bytes that the parser has not taken: a field, or the line before a chunk, that has no end.
constexpr std::size_t maxUnparsedBytes = 2UL * maxAnswerHeaderBytes;
/// Answers to other requests, interim ones included, that are skipped before our own.
constexpr unsigned maxForeignAnswers = 16;
constexpr std::uint64_t maxForeignBytes = 1024ULL * 1024;

constexpr int firstFinalStatus = 200;
constexpr int statusOk = 200;

/// Part of the endpoint's idle timeout during which a kept connection is trusted: the endpoint's
/// clock starts earlier than ours and its close needs time to get here.
constexpr int keepAlivePercent = 75;

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

void Attempt::begin(std::shared_ptr<EndpointConnection> connection, std::string request,
                    bool reused, bool isHeadRequest)
{
    m_connection = std::move(connection);
    m_reused = reused;
    m_isHeadRequest = isHeadRequest;
    m_request = std::move(request);
    startReader();
    m_connection->setUser(this);
    if (m_connection->isConnected()) {
        connected();
        return;
    }
    m_connectTimer = m_loop.timers().schedule(m_start.connectDeadline, [this] {
        end(AttemptResult::NotSent, "no connection in time");
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

void Attempt::connected()
{
    m_loop.timers().cancel(m_connectTimer);
    if (m_loop.now() >= m_start.connectDeadline) {
        end(AttemptResult::NotSent, "connected too late");
        return;
    }
    m_sentAt = m_loop.now();
    m_connection->send(std::exchange(m_request, {}));
}

std::optional<Instant> Attempt::closedUntil() const
{
    if (!m_traits.closedFor)
        return std::nullopt;
    return m_headAt + *m_traits.closedFor;
}

void Attempt::startReader()
{
    m_mode = Mode::Unknown;
    // A stream is bounded by its deadline and its caller, not by its length, and only whether an
    // answer is a stream is known once its head is here.
    m_reader.emplace(maxAnswerHeaderBytes, std::numeric_limits<std::uint64_t>::max());
    if (m_isHeadRequest)
        m_reader->expectNoBody();
    m_reader->setBodySink([this](std::string_view bytes) { receiveBody(bytes); });
}

void Attempt::received(std::string &input)
{
    while (!m_ended && !input.empty()) {
        std::error_code error;
        const std::size_t used = m_reader->read(input, error);
        if (m_ended)
            return;
        input.erase(0, used);
        if (error) {
            end(AttemptResult::Interrupted, "the answer is not HTTP: " + error.message());
            return;
        }
        if (!isWithinBounds(input)) {
            end(AttemptResult::Interrupted, "the answer is too long");
            return;
        }
        if (m_mode == Mode::Unknown && m_reader->isHeadComplete())
            judgeHead();
        if (m_mode == Mode::Relayed && !relayEvents())
            return;
        if (!m_reader->isComplete())
            return;
        if (finishAnswer())
            return;
    }
}

bool Attempt::isWithinBounds(const std::string &input)
{
    return input.size() <= maxUnparsedBytes && m_body.size() <= maxAnswerBodyBytes
            && m_events.remainderBytes() <= maxEventBytes && m_foreignBytes <= maxForeignBytes
            && m_foreignAnswers <= maxForeignAnswers;
}

void Attempt::judgeHead()
{
    const ResponseHead &head = m_reader->head();
    if (head.status < firstFinalStatus) {
        m_mode = Mode::Foreign;
        return;
    }
    m_traits = m_codec.inspect(head);
    m_headAt = m_loop.now();
    if (m_traits.isLeaving)
        m_owner.endpointLeaves(m_start.endpoint);
    if (m_traits.callerId && *m_traits.callerId != m_callerId) {
        m_mode = Mode::Foreign;
        return;
    }
    const bool isStream = m_start.isStream && head.status == statusOk && isEventStream(head);
    m_mode = isStream ? Mode::Relayed : Mode::Buffered;
}

void Attempt::receiveBody(std::string_view bytes)
{
    if (m_mode == Mode::Unknown)
        judgeHead();
    if (m_mode == Mode::Relayed)
        m_events.add(bytes);
    else if (m_mode == Mode::Buffered)
        m_body.append(bytes);
    else
        m_foreignBytes += bytes.size();
}

bool Attempt::relayEvents()
{
    while (const auto event = m_events.next()) {
        m_owner.relay(*this, m_reader->head(), *event, m_events.id());
        if (m_ended)
            return false;
    }
    return true;
}

/// Returns whether the attempt is over; otherwise the next answer is expected.
bool Attempt::finishAnswer()
{
    if (m_mode != Mode::Foreign) {
        complete();
        return true;
    }
    if (!m_reader->head().keepAlive && m_reader->head().status >= firstFinalStatus) {
        end(AttemptResult::Interrupted, "the connection ended with another request's answer");
        return true;
    }
    ++m_foreignAnswers;
    startReader();
    return false;
}

void Attempt::complete()
{
    if (m_mode == Mode::Relayed && m_events.hasRemainder())
        end(AttemptResult::Interrupted, "the stream ended within an event");
    else if (m_mode == Mode::Relayed)
        end(AttemptResult::Streamed, {});
    else if (m_traits.misdirected)
        end(AttemptResult::Misdirected, "another endpoint has the address");
    else if (m_traits.notRun)
        end(AttemptResult::Declined, "the endpoint declined");
    else
        end(AttemptResult::Answered, {});
}

void Attempt::broken(bool inOrder, std::string_view reason)
{
    if (!m_connection->hasSent()) {
        end(AttemptResult::NotSent, reason);
        return;
    }
    // An answer without a length is whole when the endpoint closes in order.
    std::error_code error;
    if (inOrder && m_reader->isHeadComplete() && !m_reader->isComplete() && m_mode != Mode::Foreign
        && m_reader->endsAtConnectionClose()) {
        m_reader->readEndOfStream(error);
        if (!error && !m_ended && (m_mode != Mode::Relayed || relayEvents())) {
            complete();
            return;
        }
    }
    end(AttemptResult::Interrupted, reason);
}

void Attempt::end(AttemptResult result, std::string_view reason)
{
    if (std::exchange(m_ended, true))
        return;
    m_owner.ended(*this, result, reason);
}

std::shared_ptr<EndpointConnection> Attempt::takeReusableConnection()
{
    const bool isWhole = m_reader->isComplete() && m_reader->head().keepAlive
            && !m_reader->endsAtConnectionClose();
    if (!isWhole || !m_connection->isOpen() || !m_connection->isQuiet())
        return nullptr;
    m_connection->setUser(nullptr);
    m_connection->lastUsed = m_loop.now();
    if (m_traits.keepAlive)
        m_connection->keepUntil =
                m_loop.now() + Duration(*m_traits.keepAlive) * keepAlivePercent / 100;
    return std::exchange(m_connection, nullptr);
}

} // namespace monsoonsail
