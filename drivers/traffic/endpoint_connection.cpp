#include "drivers/traffic/endpoint_connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace monsoonsail {

namespace {

/// The connection is reset if sent bytes stay unacknowledged for this time, as happens when a
/// network partition separates the endpoint.
constexpr unsigned userTimeoutMs = 3000;
/// Larger buffers are freed when they are empty, since connections are kept.
constexpr std::size_t maxKeptBufferBytes = 16UL * 1024;

ConnectionEnd connectionEnd(const std::error_code &error)
{
    const bool isReset = error == std::errc::connection_reset || error == std::errc::broken_pipe;
    return isReset ? ConnectionEnd::Reset : ConnectionEnd::Failed;
}

} // namespace

EndpointConnection::EndpointConnection(EventLoop &loop, EndpointId endpoint)
    : m_loop(loop)
    , m_endpoint(std::move(endpoint))
{ }

EndpointConnection::~EndpointConnection()
{
    close();
}

std::error_code EndpointConnection::connect(std::string_view address)
{
    std::error_code error;
    m_socket = Socket::connecting(address, error);
    if (error) {
        m_socket.close();
        return error;
    }
    m_socket.setUserTimeoutMs(userTimeoutMs);
    m_loop.add(m_socket.descriptor(), *this, m_interest);
    return {};
}

void EndpointConnection::onReady(DescriptorState state)
{
    // The user may release the connection during a callback.
    const auto self = shared_from_this();
    if (!m_connected) {
        if (state.writable || state.hangup)
            finishConnecting();
        return;
    }
    if (state.writable)
        flush();
    // A read also returns the end of the stream and errors.
    if (isOpen() && (state.readable || state.hangup))
        receive();
}

void EndpointConnection::finishConnecting()
{
    const std::error_code error = m_socket.error();
    if (error) {
        fail(ConnectionEnd::Failed, error.message());
        return;
    }
    m_connected = true;
    if (m_user != nullptr)
        m_user->onConnected();
    if (isOpen())
        flush();
}

void EndpointConnection::setUser(EndpointConnectionUser *user)
{
    m_user = user;
    m_hasSent = false;
}

void EndpointConnection::send(std::string_view bytes)
{
    // A failed write may deliver a response, after which the user releases the connection.
    const auto self = shared_from_this();
    m_output.append(bytes);
    if (m_connected)
        flush();
}

bool EndpointConnection::receive()
{
    std::error_code error;
    const auto size = m_socket.receiveInto(m_input, error);
    if (!size) {
        endReceiving(error);
        return false;
    }
    if (*size == 0)
        return false;
    if (m_user == nullptr) {
        fail(ConnectionEnd::Failed, "the endpoint sent bytes without a request");
        return false;
    }
    m_user->onBytesReceived(m_input);
    return true;
}

void EndpointConnection::endReceiving(std::error_code error)
{
    // A read does not return an error that a write has returned, nor one that follows the end of
    // the stream.
    if (!error)
        error = m_sendError ? m_sendError : m_socket.error();
    if (error)
        fail(connectionEnd(error), error.message());
    else if (!m_output.empty() || m_socket.hasUnacknowledgedBytes())
        fail(ConnectionEnd::Premature,
             "the endpoint closed the connection before it had the whole request");
    else
        fail(ConnectionEnd::Orderly, "the endpoint closed the connection");
}

void EndpointConnection::flush()
{
    while (!m_output.empty()) {
        const std::size_t size = m_socket.send(m_output, m_sendError);
        if (m_sendError) {
            // The endpoint may have sent its response before it closed the connection.
            while (isOpen() && receive()) { }
            if (isOpen())
                endReceiving(m_sendError);
            return;
        }
        if (size == 0)
            break;
        m_hasSent = true;
        m_output.erase(0, size);
    }
    if (m_output.empty() && m_output.capacity() > maxKeptBufferBytes)
        std::string().swap(m_output);
    updateInterest();
}

void EndpointConnection::updateInterest()
{
    const auto interest =
            m_output.empty() ? EventLoop::Interest::Read : EventLoop::Interest::ReadWrite;
    if (interest == m_interest)
        return;
    m_interest = interest;
    m_loop.change(m_socket.descriptor(), interest);
}

void EndpointConnection::reset()
{
    if (m_socket.isOpen())
        m_socket.resetOnClose();
    close();
}

bool EndpointConnection::isStale() const
{
    char byte = 0;
    const ssize_t size = ::recv(m_socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void EndpointConnection::fail(ConnectionEnd end, std::string_view reason)
{
    // After an orderly close, the kernel would go on delivering the request.
    if (end == ConnectionEnd::Orderly)
        close();
    else
        reset();
    if (EndpointConnectionUser *user = std::exchange(m_user, nullptr))
        user->onDisconnected(end, reason);
}

void EndpointConnection::close()
{
    if (!m_socket.isOpen())
        return;
    m_loop.remove(m_socket.descriptor());
    m_socket.close();
}

} // namespace monsoonsail
