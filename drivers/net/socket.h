#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// Owns a non-blocking IPv4 socket.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    { }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// Listens on "IP:port". Throws std::system_error if that fails.
    static Socket listening(std::string_view address);
    /// Receives datagrams on "IP:port". Throws std::system_error if that fails.
    static Socket datagram(std::string_view address);
    /// Starts to connect to "IP:port". Without an error, the socket becomes writable at the end of
    /// the attempt; error() then tells how it ended.
    static Socket connecting(std::string_view address, std::error_code &error);

    /// Returns the next connection, or a closed socket if there is none at present.
    Socket accept() const;
    /// Appends what has arrived to `bytes` and returns its size, 0 if there is nothing yet. Returns
    /// nothing if the connection has ended; `error` is unset if the other end closed it in order.
    std::optional<std::size_t> receiveInto(std::string &bytes, std::error_code &error) const;
    /// Returns the bytes received, 0 at the end of the stream. No data is an error of its own
    /// (operation_would_block).
    std::size_t receive(std::span<char> buffer, std::error_code &error) const;
    /// Returns the bytes that the kernel took; 0 without an error if it takes none at present.
    std::size_t send(std::string_view bytes, std::error_code &error) const;
    /// Returns and clears the pending error of the socket.
    std::error_code error() const;
    /// Has the kernel close the connection with a reset once sent bytes stay unacknowledged.
    void setUserTimeoutMs(unsigned milliseconds) const;
    /// Has the next close reset the connection.
    void resetOnClose() const;

    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }
    /// Returns the local port, 0 if the socket has none.
    unsigned port() const;
    void close();

private:
    int m_descriptor = -1;
};

} // namespace monsoonsail
