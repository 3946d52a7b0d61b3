#include "drivers/traffic/caller_connection.h"

#include "drivers/traffic/caller_set.h"
#include "drivers/traffic/response_writer.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace monsoonsail {

namespace {

/// The connection is closed if more response bytes than this are unsent. The limit is meant to be
/// larger than any response to a caller that reads.
constexpr std::size_t maxOutputBytes = 16UL * 1024 * 1024;
/// Reading stops at this size of the input behind a request that is being answered, or behind
/// responses that are unsent.
constexpr std::size_t maxPipelinedBytes = 8UL * 1024;
/// No request begins while more response bytes than this are unsent.
constexpr std::size_t maxUnsentBeforeRequest = 64UL * 1024;
/// What finish() reads at most.
constexpr std::size_t maxFinalInputBytes = 64UL * 1024;
/// Larger buffers are freed when they are empty.
constexpr std::size_t maxKeptBufferBytes = 4UL * 1024;
/// Bodies grow by this part of their size, so that many of them hold little unused memory.
constexpr std::size_t bodyGrowthDivisor = 4;
/// The connection is closed if the caller accepts no byte for this time.
constexpr Duration writeTimeout = std::chrono::seconds(10);

/// A caller that was refused for lack of memory or connections should try again after it.
constexpr std::chrono::milliseconds overloadRetryDelay{1000};

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

ErrorKind errorKindOf(const std::error_code &error)
{
    using boost::beast::http::make_error_code;
    if (error == std::error_code(make_error_code(boost::beast::http::error::body_limit)))
        return ErrorKind::RequestTooLarge;
    if (error == std::error_code(make_error_code(boost::beast::http::error::header_limit)))
        return ErrorKind::HeadersTooLarge;
    return ErrorKind::MalformedRequest;
}

std::optional<CallerFault> faultOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::MalformedRequest:
        return CallerFault::MalformedRequest;
    case ErrorKind::HeadersTooLarge:
        return CallerFault::HeaderTooLong;
    case ErrorKind::RequestTooLarge:
        return CallerFault::BodyTooLong;
    case ErrorKind::RequestTimeout:
        return CallerFault::RequestTimeout;
    default:
        return std::nullopt;
    }
}

void freeIfEmpty(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() > maxKeptBufferBytes)
        std::string().swap(buffer);
}

} // namespace

CallerConnection::CallerConnection(EventLoop &loop, Socket socket, CallerConnectionOwner &owner)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_owner(owner)
    , m_readDeadline(loop.now() + owner.limits().idleTimeout)
    , m_waitingSince(loop.now())
{
    m_loop.add(m_socket.descriptor(), *this, m_interest);
}

CallerConnection::~CallerConnection()
{
    if (m_socket.isOpen())
        m_loop.remove(m_socket.descriptor());
}

void CallerConnection::onReady(DescriptorState state)
{
    // The owner releases the connection when it closes.
    const auto self = shared_from_this();
    if (state.writable)
        flush();
    const std::size_t maxBytes = isBlocked()
            ? maxPipelinedBytes - std::min(m_input.size(), maxPipelinedBytes)
            : std::numeric_limits<std::size_t>::max();
    const bool isReading = maxBytes > 0 && m_interest != EventLoop::Interest::Hangup
            && m_interest != EventLoop::Interest::Write;
    if (isOpen() && state.readable && isReading)
        receive(maxBytes);
    // While reads are disabled, only the hangup event shows that the caller has disconnected.
    if (isOpen() && state.hangup && (m_isResponding || !isReading))
        close();
}

bool CallerConnection::isBlocked() const
{
    return m_isResponding || m_output.size() > maxUnsentBeforeRequest;
}

bool CallerConnection::receive(std::size_t maxBytes)
{
    std::error_code error;
    const auto size = m_socket.receiveInto(m_input, error, maxBytes);
    if (!size) {
        close();
        return false;
    }
    if (*size == 0)
        return false;
    // What follows a refused request is only read so that the kernel goes on sending the refusal.
    if (m_closeAfterSending)
        m_input.clear();
    processInput();
    return true;
}

void CallerConnection::processInput()
{
    // The owner may end the response within onRequest(), which calls this function again.
    if (m_isProcessing)
        return;
    m_isProcessing = true;
    while (isOpen() && !isBlocked() && !m_closeAfterSending && !m_input.empty() && readRequest())
        deliverRequest();
    m_isProcessing = false;
    freeIfEmpty(m_input);
    if (isOpen())
        countRequestBytes();
    if (isOpen())
        updateInterest();
}

bool CallerConnection::readRequest()
{
    if (!m_reader)
        startReader();
    if (m_input.empty())
        return false;
    const bool hadCompleteHead = m_reader->isHeadComplete();
    std::error_code error;
    m_input.erase(0, m_reader->read(m_input, error));
    if (error) {
        reject(errorKindOf(error));
        return false;
    }
    if (!hadCompleteHead && m_reader->isHeadComplete()) {
        m_headReceivedAt = m_loop.now();
        if (!m_reader->isComplete() && m_reader->head().fields.find("Expect"))
            write(continueResponse);
        if (!isOpen())
            return false;
    }
    if (!m_reader->isComplete()) {
        if (m_reader->isHeadComplete())
            m_readDeadline = m_loop.now() + m_owner.limits().idleTimeout;
        return false;
    }
    // Refuses incomplete requests of other callers first.
    countRequestBytes();
    if (isOpen() && m_owner.callers().requestMemory().mayRefuse(m_requestBytes)) {
        m_owner.callers().faults().count(CallerFault::RequestMemory);
        reject(ErrorKind::Overloaded);
        return false;
    }
    return isOpen();
}

void CallerConnection::startReader()
{
    // Some clients send an empty line after a body (RFC 9112, section 2.2).
    m_input.erase(0, std::min(m_input.find_first_not_of("\r\n"), m_input.size()));
    const ConnectionLimits &limits = m_owner.limits();
    m_body.clear();
    m_reader.emplace(limits.maxHeaderBytes, limits.maxBodyBytes);
    m_reader->setBodySink([this](std::string_view bytes) { appendBody(bytes); });
    m_readDeadline = m_loop.now() + limits.headerTimeout;
    m_requestDeadline = m_loop.now() + m_owner.callers().limits().requestTime;
    m_waitingSince = m_loop.now();
}

void CallerConnection::appendBody(std::string_view bytes)
{
    const std::size_t size = m_body.size() + bytes.size();
    if (size > m_body.capacity()) {
        // reserve() would double the capacity. What is declared may never come.
        const std::uint64_t most = m_reader->isChunked() ? m_owner.limits().maxBodyBytes
                                                         : m_reader->declaredBodyBytes();
        std::string grown;
        grown.reserve(std::max<std::size_t>(
                size, std::min<std::uint64_t>(size + size / bodyGrowthDivisor, most)));
        grown.append(m_body);
        m_body.swap(grown);
    }
    m_body.append(bytes);
}

bool CallerConnection::isRefusable() const
{
    const bool isWhole = m_reader && m_reader->isComplete();
    return m_requestBytes > 0 && !m_closeAfterSending && !isWhole;
}

void CallerConnection::countRequestBytes()
{
    std::size_t bytes = m_body.capacity() > maxKeptBufferBytes ? m_body.capacity() : m_body.size();
    bytes += m_input.capacity() > maxKeptBufferBytes ? m_input.capacity() : m_input.size();
    if (m_reader)
        bytes += m_reader->head().fields.memoryBytes();
    const std::size_t before = std::exchange(m_requestBytes, bytes);
    m_owner.callers().updateRequestBytes(before, bytes);
}

void CallerConnection::countUnreadBytes()
{
    const std::size_t before = std::exchange(m_unreadBytes, m_output.size());
    m_owner.callers().updateUnreadBytes(before, m_unreadBytes);
}

void CallerConnection::deliverRequest()
{
    RequestHead head = std::move(m_reader->head());
    m_reader.reset();
    m_isResponding = true;
    m_mayKeepAlive = head.keepAlive;
    std::string body = std::exchange(m_body, {});
    countRequestBytes();
    m_owner.onRequest(*this, std::move(head), std::move(body), m_headReceivedAt);
}

void CallerConnection::reject(ErrorKind kind)
{
    const bool isHeadRequest = m_reader && m_reader->head().method == "HEAD";
    if (const auto fault = faultOf(kind))
        m_owner.callers().faults().count(*fault);
    std::string().swap(m_input);
    std::string().swap(m_body);
    m_reader.reset();
    countRequestBytes();
    m_closeAfterSending = true;
    std::optional<std::chrono::milliseconds> retryAfter;
    if (kind == ErrorKind::Overloaded)
        retryAfter = overloadRetryDelay;
    std::string response;
    appendErrorResponse(kind, retryAfter, {}, isHeadRequest, false, response);
    write(response);
}

void CallerConnection::refuse(ErrorKind kind)
{
    if (m_reader && m_reader->isStarted() && !m_closeAfterSending)
        reject(kind);
    else
        close();
}

void CallerConnection::discardInput()
{
    std::string().swap(m_input);
    m_mayKeepAlive = false;
    m_closeAfterSending = true;
    countRequestBytes();
}

void CallerConnection::write(std::string_view bytes)
{
    if (!isOpen())
        return;
    if (m_output.empty())
        m_writeDeadline = m_loop.now() + writeTimeout;
    m_output.append(bytes);
    if (m_output.size() > maxOutputBytes) {
        m_owner.callers().faults().count(CallerFault::UnreadAnswers);
        close();
        return;
    }
    flush();
}

void CallerConnection::endResponse(bool keepAlive)
{
    m_isResponding = false;
    m_closeAfterSending = m_closeAfterSending || !keepAlive;
    m_readDeadline = m_loop.now() + m_owner.limits().idleTimeout;
    m_waitingSince = m_loop.now();
    if (m_closeAfterSending && m_output.empty()) {
        close();
        return;
    }
    if (isOpen())
        processInput();
}

void CallerConnection::flush()
{
    const bool wasBlocked = isBlocked();
    while (isOpen() && !m_output.empty()) {
        std::error_code error;
        const std::size_t size = m_socket.send(m_output, error);
        if (error) {
            close();
            return;
        }
        if (size == 0)
            break;
        m_output.erase(0, size);
        m_writeDeadline = m_loop.now() + writeTimeout;
    }
    freeIfEmpty(m_output);
    if (isOpen() && m_output.empty() && m_closeAfterSending && !m_isResponding) {
        close();
        return;
    }
    if (!isOpen())
        return;
    countUnreadBytes();
    if (wasBlocked && !isBlocked())
        processInput();
    if (isOpen())
        updateInterest();
}

void CallerConnection::updateInterest()
{
    const bool isReading = !isBlocked() || m_input.size() < maxPipelinedBytes;
    EventLoop::Interest interest =
            isReading ? EventLoop::Interest::Read : EventLoop::Interest::Hangup;
    if (!m_output.empty())
        interest = isReading ? EventLoop::Interest::ReadWrite : EventLoop::Interest::Write;
    if (interest == m_interest)
        return;
    m_interest = interest;
    m_loop.change(m_socket.descriptor(), interest);
}

void CallerConnection::close()
{
    if (!isOpen())
        return;
    m_loop.remove(m_socket.descriptor());
    m_socket.close();
    m_reader.reset();
    std::string().swap(m_input);
    std::string().swap(m_body);
    std::string().swap(m_output);
    countRequestBytes();
    countUnreadBytes();
    if (std::exchange(m_isResponding, false))
        m_owner.onCallerDisconnected(*this);
    m_owner.onConnectionClosed(*this);
}

void CallerConnection::finish()
{
    const auto self = shared_from_this();
    // Bytes that are unread when the socket closes would make the kernel drop those being sent.
    while (isOpen() && m_input.size() <= maxFinalInputBytes && receive(maxFinalInputBytes)) { }
    if (!isOpen() || m_closeAfterSending)
        return;
    if (m_reader && m_reader->isStarted())
        reject(ErrorKind::Stopping);
    m_closeAfterSending = true;
    if (!m_isResponding && m_output.empty())
        close();
}

void CallerConnection::checkTimeouts(Instant now)
{
    if (!m_output.empty() && m_writeDeadline <= now) {
        close();
        return;
    }
    const bool isStarted = m_reader && m_reader->isStarted();
    const bool isLate = m_readDeadline <= now || (isStarted && m_requestDeadline <= now);
    if (m_isResponding || !isLate)
        return;
    if (isStarted)
        reject(ErrorKind::RequestTimeout);
    else
        close();
}

} // namespace monsoonsail
