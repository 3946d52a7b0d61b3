#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

class EndpointConnection;

/// How a connection to an endpoint ended.
enum class ConnectionEnd {
    Orderly,   ///< The endpoint closed it without an error, after it had the whole request.
    Premature, ///< The endpoint closed it without an error, before it had the whole request.
    Reset,     ///< The endpoint reset it.
    Failed,    ///< It could not be established, timed out or was misused.
};

/// Receives the events of an endpoint connection while it uses it for a request.
class EndpointConnectionUser
{
public:
    virtual ~EndpointConnectionUser() = default;

    /// Called when bytes arrive. The user removes those that it has consumed from the front of
    /// `input`.
    virtual void onBytesReceived(std::string &input) = 0;
    /// Called when the connection has closed or failed.
    virtual void onDisconnected(ConnectionEnd end, std::string_view reason) = 0;
    /// Called when the connection is established. Bytes are sent from now on.
    virtual void onConnected() = 0;
};

/// A connection to an endpoint. It carries one request at a time.
class EndpointConnection : public DescriptorHandler,
                           public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(EventLoop &loop, EndpointId endpoint);
    ~EndpointConnection() override;
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    /// Starts to connect to "IP:port". Returns an error if that fails immediately.
    std::error_code connect(std::string_view address);
    void onReady(DescriptorState state) override;

    /// Sets the user of the connection; nullptr if it has none.
    void setUser(EndpointConnectionUser *user);
    void send(std::string_view bytes);
    void close();
    /// Closes the connection so that bytes which the endpoint has not acknowledged are not
    /// delivered any more.
    void reset();

    const EndpointId &endpoint() const { return m_endpoint; }
    bool isOpen() const { return m_socket.isOpen(); }
    bool isConnected() const { return m_connected; }
    bool hasSent() const { return m_hasSent; }
    /// Returns the bytes of requests that the socket has not accepted.
    std::size_t unsentBytes() const { return m_output.size(); }
    /// Whether the connection is established and no bytes are buffered in either direction.
    bool hasEmptyBuffers() const { return m_connected && m_input.empty() && m_output.empty(); }
    /// Whether the endpoint has closed the connection or sent bytes without a request.
    bool isStale() const;

    /// The instant until which the connection may be reused while it is idle.
    Instant keepAliveUntil = Instant::max();
    /// Whether the endpoint has named its start, or names none, so that the connection is known to
    /// lead to the incarnation that it was made for.
    bool isIncarnationChecked = false;
    /// Status of the response to the check of the incarnation, if the connection has carried one.
    std::optional<int> incarnationCheckStatus;
    /// When the last response was complete.
    Instant lastUsedAt;

private:
    void finishConnecting();
    /// Returns whether bytes were received.
    bool receive();
    void flush();
    void updateInterest();
    void endReceiving(std::error_code error);
    void fail(ConnectionEnd end, std::string_view reason);

    EventLoop &m_loop;
    const EndpointId m_endpoint;
    Socket m_socket;
    EndpointConnectionUser *m_user = nullptr;
    std::string m_input;
    std::string m_output;
    std::error_code m_sendError;
    bool m_connected = false;
    bool m_hasSent = false; ///< Whether a byte was sent for the current user.
    EventLoop::Interest m_interest = EventLoop::Interest::ReadWrite;
};

} // namespace monsoonsail
