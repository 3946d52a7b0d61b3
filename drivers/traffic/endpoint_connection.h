#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"

#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

class EndpointConnection;

/// Uses an endpoint connection for one request.
class EndpointConnectionUser
{
public:
    virtual ~EndpointConnectionUser() = default;

    /// Bytes are here. The user takes those that it needs from the front; the others stay.
    virtual void onBytesReceived(std::string &input) = 0;
    /// The connection is unusable. `isOrderly` tells whether the endpoint ended its stream.
    virtual void onDisconnected(bool isOrderly, std::string_view reason) = 0;
    /// The connection attempt has ended well; bytes leave from now on.
    virtual void onConnected() = 0;
};

/// One connection to an endpoint. It carries one request at a time.
class EndpointConnection : public DescriptorHandler,
                           public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(EventLoop &loop, EndpointId endpoint);
    ~EndpointConnection() override;
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    /// Starts to connect to "IP:port". An error means that it has failed at once.
    std::error_code connect(std::string_view address);
    void onReady(DescriptorState state) override;

    /// Gives the connection to a user, or takes it back with nullptr.
    void setUser(EndpointConnectionUser *user);
    void send(std::string_view bytes);
    void close();

    const EndpointId &endpoint() const { return m_endpoint; }
    bool isOpen() const { return m_socket.isOpen(); }
    bool isConnected() const { return m_connected; }
    bool hasSent() const { return m_hasSent; }
    /// Whether nothing is on its way in either direction.
    bool isIdle() const { return m_connected && m_input.empty() && m_output.empty(); }
    /// Whether the endpoint has already closed the connection or sent something unasked.
    bool isStale() const;

    /// Until when the endpoint keeps the connection while it is idle.
    Instant keepAliveUntil = Instant::max();
    /// When the last answer on it was complete.
    Instant lastUsedAt;

private:
    void finishConnecting();
    void receive();
    void flush();
    void updateInterest();
    void fail(bool isOrderly, std::string_view reason);

    EventLoop &m_loop;
    const EndpointId m_endpoint;
    Socket m_socket;
    EndpointConnectionUser *m_user = nullptr;
    std::string m_input;
    std::string m_output;
    bool m_connected = false;
    bool m_hasSent = false; ///< Whether a byte left for the current user.
    EventLoop::Interest m_interest = EventLoop::Interest::ReadWrite;
};

} // namespace monsoonsail
