#include "drivers/net/socket.h"

#include "drivers/net/socket_address.h"

#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <utility>

namespace monsoonsail {

namespace {

constexpr int listenBacklog = 1024;
/// Holds a typical body or many events of a stream.
constexpr std::size_t receiveBufferBytes = 32UL * 1024;

void enableOption(int descriptor, int level, int name)
{
    const int enabled = 1;
    ::setsockopt(descriptor, level, name, &enabled, sizeof enabled);
}

std::error_code lastError()
{
    return {errno, std::system_category()};
}

sockaddr_in parseAddressOrThrow(std::string_view text)
{
    const auto address = parseSocketAddress(text);
    if (!address)
        throw std::system_error(std::make_error_code(std::errc::invalid_argument),
                                "not a socket address: " + std::string(text));
    return *address;
}

Socket createBoundSocket(int type, std::string_view text)
{
    const sockaddr_in address = parseAddressOrThrow(text);
    Socket socket(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        throw std::system_error(lastError(), "cannot create a socket");
    enableOption(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.descriptor(), reinterpret_cast<const sockaddr *>(&address), sizeof address)
        != 0)
        throw std::system_error(lastError(), "cannot bind " + std::string(text));
    return socket;
}

} // namespace

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{ }

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

Socket Socket::listening(std::string_view address)
{
    Socket socket = createBoundSocket(SOCK_STREAM, address);
    if (::listen(socket.descriptor(), listenBacklog) != 0)
        throw std::system_error(lastError(), "cannot listen on " + std::string(address));
    return socket;
}

Socket Socket::datagram(std::string_view address)
{
    return createBoundSocket(SOCK_DGRAM, address);
}

Socket Socket::connecting(std::string_view text, std::error_code &error)
{
    error.clear();
    const auto address = parseSocketAddress(text);
    if (!address) {
        error = std::make_error_code(std::errc::invalid_argument);
        return {};
    }
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen()) {
        error = lastError();
        return {};
    }
    enableOption(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY);
    const auto *target = reinterpret_cast<const sockaddr *>(&*address);
    if (::connect(socket.descriptor(), target, sizeof *address) != 0 && errno != EINPROGRESS)
        error = lastError();
    return socket;
}

Socket Socket::accept(std::error_code &error) const
{
    error.clear();
    Socket socket(::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    // Other errors concern a connection that has ended meanwhile.
    if (!socket.isOpen()
        && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM))
        error = lastError();
    if (socket.isOpen())
        enableOption(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY);
    return socket;
}

std::optional<std::size_t> Socket::receiveInto(std::string &bytes, std::error_code &error,
                                               std::size_t maxBytes) const
{
    std::array<char, receiveBufferBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const std::size_t size =
            receive(std::span(buffer).first(std::min(maxBytes, buffer.size())), error);
    if (error == std::errc::operation_would_block) {
        error.clear();
        return 0;
    }
    if (error || size == 0)
        return std::nullopt;
    bytes.append(buffer.data(), size);
    return size;
}

std::size_t Socket::receive(std::span<char> buffer, std::error_code &error) const
{
    error.clear();
    ssize_t size = 0;
    do {
        size = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    } while (size < 0 && errno == EINTR);
    if (size >= 0)
        return static_cast<std::size_t>(size);
    error = lastError();
    return 0;
}

std::size_t Socket::send(std::string_view bytes, std::error_code &error) const
{
    error.clear();
    ssize_t size = 0;
    do {
        size = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    } while (size < 0 && errno == EINTR);
    if (size >= 0)
        return static_cast<std::size_t>(size);
    if (errno != EAGAIN && errno != EWOULDBLOCK)
        error = lastError();
    return 0;
}

std::error_code Socket::error() const
{
    int value = 0;
    socklen_t size = sizeof value;
    if (::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &value, &size) != 0)
        return lastError();
    return {value, std::system_category()};
}

bool Socket::hasUnacknowledgedBytes() const
{
    int bytes = 0;
    return ::ioctl(m_descriptor, SIOCOUTQ, &bytes) != 0 || bytes > 0;
}

void Socket::setUserTimeoutMs(unsigned milliseconds) const
{
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

void Socket::resetOnClose() const
{
    const linger option{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

std::uint32_t Socket::droppedDatagrams() const
{
    std::array<std::uint32_t, SK_MEMINFO_VARS> counters{};
    socklen_t size = sizeof counters;
    if (::getsockopt(m_descriptor, SOL_SOCKET, SO_MEMINFO, counters.data(), &size) != 0)
        return 0;
    return counters[SK_MEMINFO_DROPS];
}

unsigned Socket::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

void Socket::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

} // namespace monsoonsail
