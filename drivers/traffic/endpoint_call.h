#pragma once

#include "core/instant.h"
#include "drivers/http/message_reader.h"
#include "drivers/loop/event_loop.h"
#include "drivers/traffic/endpoint_connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Sends a request of this instance, not of a caller, to an endpoint. Its connection is closed
/// afterwards.
class EndpointCall : private EndpointConnectionUser
{
public:
    struct Response
    {
        int status = 0; ///< HTTP status; 0 without a complete response.
        std::string body;
        std::string reason; ///< Why there is no complete response.
        bool hasTimedOut = false;
    };
    using Callback = std::function<void(const Response &)>;

    /// `callback` is called once, unless the call is destroyed first.
    EndpointCall(EventLoop &loop, std::shared_ptr<EndpointConnection> connection, Instant deadline,
                 Callback callback);
    ~EndpointCall() override;
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;

    void send(std::string_view request);
    /// Whether the callback was called. The call can then be destroyed.
    bool isFinished() const { return m_connection == nullptr; }

private:
    void onBytesReceived(std::string &input) override;
    void onDisconnected(ConnectionEnd end, std::string_view reason) override;
    void onConnected() override { }
    void finish(Response response);

    EventLoop &m_loop;
    std::shared_ptr<EndpointConnection> m_connection;
    const Callback m_callback;
    HttpResponseReader m_reader;
    std::string m_body;
    TimerQueue::Handle m_deadlineTimer;
};

} // namespace monsoonsail
