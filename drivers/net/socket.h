#pragma once

#include <cstddef>
#include <cstdint>
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

    /// Creates a TCP socket that listens on "IP:port". Throws std::system_error if that fails.
    static Socket listening(std::string_view address);
    /// Creates a UDP socket bound to "IP:port". Throws std::system_error if that fails.
    static Socket datagram(std::string_view address);
    /// Creates a TCP socket and starts to connect it to "IP:port". Unless `error` is set, the
    /// socket becomes writable when the connection is established or has failed; error() then
    /// returns the cause of the failure, if any.
    static Socket connecting(std::string_view address, std::error_code &error);

    /// Accepts the next pending connection. Returns a closed socket if there is none, and sets
    /// `error` if one could not be accepted for lack of descriptors or memory.
    Socket accept(std::error_code &error) const;
    /// Appends available data, at most `maxBytes`, to `bytes` and returns its size, which is 0 if
    /// there is none.
    /// Returns std::nullopt if the connection has ended; `error` is unset if the peer closed it
    /// without an error.
    std::optional<std::size_t> receiveInto(std::string &bytes, std::error_code &error,
                                           std::size_t maxBytes = SIZE_MAX) const;
    /// Returns the number of bytes received, 0 at the end of the stream. If there is no data, the
    /// error is operation_would_block.
    std::size_t receive(std::span<char> buffer, std::error_code &error) const;
    /// Returns the number of bytes that the kernel accepted; 0 without an error if its buffer is
    /// full.
    std::size_t send(std::string_view bytes, std::error_code &error) const;
    /// Returns and clears the pending error of the socket.
    std::error_code error() const;
    /// Whether bytes that were sent have not been acknowledged by the peer.
    bool hasUnacknowledgedBytes() const;
    /// Makes the kernel reset the connection if sent bytes stay unacknowledged for this time.
    void setUserTimeoutMs(unsigned milliseconds) const;
    /// Makes the next close() reset the connection.
    void resetOnClose() const;

    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }
    /// Returns how many datagrams the kernel has dropped because its receive buffer was full, 0 if
    /// it doesn't tell.
    std::uint32_t droppedDatagrams() const;
    /// Returns the local port, 0 if the socket has none.
    unsigned port() const;
    void close();

private:
    int m_descriptor = -1;
};

} // namespace monsoonsail
