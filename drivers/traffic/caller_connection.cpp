#include "drivers/traffic/caller_connection.h"

#include "drivers/traffic/response_writer.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace monsoonsail {

namespace {

/// The connection is closed if more response bytes than this are unsent. The limit is meant to be
/// larger than any response to a caller that reads.
constexpr std::size_t maxOutputBytes = 16UL * 1024 * 1024;
/// While a request is being answered and no output is unsent, reading stops when the buffered input
/// exceeds this size.
constexpr std::size_t maxPipelinedBytes = 64UL * 1024;
/// The connection is closed if the caller accepts no byte for this time.
constexpr Duration writeTimeout = std::chrono::seconds(10);

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

} // namespace

CallerConnection::CallerConnection(EventLoop &loop, Socket socket, CallerConnectionOwner &owner)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_owner(owner)
    , m_readDeadline(loop.now() + owner.limits().idleTimeout)
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
    if (isOpen() && state.readable && m_interest != EventLoop::Interest::Hangup)
        receive();
    // While reads are disabled, only the hangup event shows that the caller has disconnected.
    if (isOpen() && state.hangup && (m_isResponding || m_interest == EventLoop::Interest::Hangup))
        close();
}

bool CallerConnection::receive()
{
    std::error_code error;
    const auto size = m_socket.receiveInto(m_input, error);
    if (!size) {
        close();
        return false;
    }
    if (*size == 0)
        return false;
    processInput();
    return true;
}

void CallerConnection::processInput()
{
    // The owner may end the response within onRequest(), which calls this function again.
    if (m_isProcessing)
        return;
    m_isProcessing = true;
    while (isOpen() && !m_isResponding && !m_closeAfterSending && !m_input.empty()) {
        if (!m_reader)
            startReader();
        if (m_input.empty())
            break;
        const bool hadCompleteHead = m_reader->isHeadComplete();
        std::error_code error;
        m_input.erase(0, m_reader->read(m_input, error));
        if (error) {
            reject(errorKindOf(error));
            break;
        }
        if (!hadCompleteHead && m_reader->isHeadComplete()) {
            m_headReceivedAt = m_loop.now();
            if (!m_reader->isComplete() && m_reader->head().fields.find("Expect"))
                write(continueResponse);
        }
        if (!m_reader->isComplete()) {
            if (m_reader->isHeadComplete())
                m_readDeadline = m_loop.now() + m_owner.limits().idleTimeout;
            break;
        }
        deliverRequest();
    }
    m_isProcessing = false;
    if (isOpen())
        updateInterest();
}

void CallerConnection::startReader()
{
    // Some clients send an empty line after a body (RFC 9112, section 2.2).
    m_input.erase(0, std::min(m_input.find_first_not_of("\r\n"), m_input.size()));
    const ConnectionLimits &limits = m_owner.limits();
    m_body.clear();
    m_reader.emplace(limits.maxHeaderBytes, limits.maxBodyBytes);
    m_reader->setBodySink([this](std::string_view bytes) { m_body.append(bytes); });
    m_readDeadline = m_loop.now() + limits.headerTimeout;
}

void CallerConnection::deliverRequest()
{
    RequestHead head = std::move(m_reader->head());
    m_reader.reset();
    m_isResponding = true;
    m_mayKeepAlive = head.keepAlive;
    m_owner.onRequest(*this, std::move(head), std::exchange(m_body, {}), m_headReceivedAt);
}

void CallerConnection::reject(ErrorKind kind)
{
    const bool isHeadRequest = m_reader && m_reader->head().method == "HEAD";
    m_input.clear();
    m_reader.reset();
    m_closeAfterSending = true;
    std::string response;
    appendErrorResponse(kind, std::nullopt, {}, isHeadRequest, false, response);
    write(response);
}

void CallerConnection::write(std::string_view bytes)
{
    if (!isOpen())
        return;
    if (m_output.empty())
        m_writeDeadline = m_loop.now() + writeTimeout;
    m_output.append(bytes);
    if (m_output.size() > maxOutputBytes) {
        close();
        return;
    }
    flush();
}

void CallerConnection::endResponse(bool keepAlive)
{
    m_isResponding = false;
    m_closeAfterSending = !keepAlive;
    m_readDeadline = m_loop.now() + m_owner.limits().idleTimeout;
    if (m_closeAfterSending && m_output.empty()) {
        close();
        return;
    }
    if (isOpen())
        processInput();
}

void CallerConnection::flush()
{
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
    if (isOpen() && m_output.empty() && m_closeAfterSending && !m_isResponding) {
        close();
        return;
    }
    if (isOpen())
        updateInterest();
}

void CallerConnection::updateInterest()
{
    EventLoop::Interest interest = EventLoop::Interest::Read;
    if (!m_output.empty())
        interest = EventLoop::Interest::ReadWrite;
    else if (m_isResponding && m_input.size() > maxPipelinedBytes)
        interest = EventLoop::Interest::Hangup;
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
    if (std::exchange(m_isResponding, false))
        m_owner.onCallerDisconnected(*this);
    m_owner.onConnectionClosed(*this);
}

void CallerConnection::finish()
{
    const auto self = shared_from_this();
    // Bytes that are unread when the socket closes would make the kernel drop those being sent.
    while (isOpen() && m_input.size() <= maxPipelinedBytes && receive()) { }
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
    if (m_isResponding || m_readDeadline > now)
        return;
    if (m_reader && m_reader->isStarted())
        reject(ErrorKind::RequestTimeout);
    else
        close();
}

} // namespace monsoonsail
