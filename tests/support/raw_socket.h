#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// A blocking TCP connection on loopback.
class RawSocket
{
public:
    RawSocket() = default;
    explicit RawSocket(int descriptor)
        : m_descriptor(descriptor)
    { }
    ~RawSocket() { close(); }
    RawSocket(RawSocket &&other) noexcept;
    RawSocket &operator=(RawSocket &&other) noexcept;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    /// Connects to a port of this machine.
    static RawSocket connectTo(unsigned port);

    /// Returns whether all bytes could be handed over.
    bool send(std::string_view bytes) const;
    /// Receives until `marker` is there, the other end closes, or the time is over; returns all
    /// bytes received by this call.
    std::string receiveUntil(std::string_view marker,
                             std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
    /// Receives what is there, or comes within the time; nothing if the other end has closed.
    std::optional<std::string> receiveSome(std::chrono::milliseconds timeout) const;
    /// Whether the other end closes within the time.
    bool isClosedWithin(std::chrono::milliseconds timeout) const;
    void close();
    /// Closes with a reset.
    void reset();
    bool isOpen() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

/// A listening socket on a free port of this machine.
class RawListener
{
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    /// Waits for a connection; the result is closed if none comes in time.
    RawSocket accept(std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
    unsigned port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    int m_descriptor;
    unsigned m_port = 0;
};

} // namespace monsoonsail
