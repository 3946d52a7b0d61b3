#pragma once

#include "core/instant.h"
#include "drivers/http/message_reader.h"
#include "drivers/loop/event_loop.h"
#include "drivers/traffic/endpoint_connection.h"

#include <functional>
#include <memory>
#include <optional>
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
        bool wasSent = false;         ///< Whether any byte of the request was sent.
        bool keepsConnection = false; ///< Whether the endpoint would have kept the connection.
    };
    using Callback = std::function<void(const Response &)>;
    /// Whether a response belongs to the call, not to an earlier request on the connection.
    using ResponseFilter = std::function<bool(const ResponseHead &)>;

    /// `callback` is called once, unless the call is destroyed first. Responses that don't pass
    /// `filter` are skipped.
    EndpointCall(EventLoop &loop, std::shared_ptr<EndpointConnection> connection, Instant deadline,
                 ResponseFilter filter, Callback callback);
    ~EndpointCall() override;
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;

    void send(std::string_view request);
    /// Calls `handler` at `at` unless the call has finished by then.
    void setOverdueHandler(Instant at, std::function<void()> handler);
    /// Whether the callback was called. The call can then be destroyed.
    bool isFinished() const { return m_connection == nullptr; }

private:
    void onBytesReceived(std::string &input) override;
    void onDisconnected(ConnectionEnd end, std::string_view reason) override;
    void onConnected() override { }
    void startReader();
    void finish(Response response);

    EventLoop &m_loop;
    std::shared_ptr<EndpointConnection> m_connection;
    const ResponseFilter m_filter;
    const Callback m_callback;
    std::optional<HttpResponseReader> m_reader;
    std::string m_body;
    unsigned m_skippedResponses = 0;
    TimerQueue::Handle m_deadlineTimer;
    TimerQueue::Handle m_overdueTimer;
};

} // namespace monsoonsail
