#pragma once

#include "drivers/loop/event_loop.h"
#include "drivers/traffic/caller_connection.h"
#include "drivers/traffic/caller_listener.h"
#include "drivers/traffic/caller_set.h"

#include <functional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// A small HTTP server on an event loop. Its handler responds synchronously.
class LocalServer : private CallerConnectionOwner
{
public:
    struct Response
    {
        int status = 200;
        std::string contentType = "text/plain";
        std::string body;
    };
    using Handler = std::function<Response(const RequestHead &, std::string_view body)>;

    /// Listens on "IP:port". Throws std::system_error if that fails. The references must outlive
    /// the server.
    LocalServer(EventLoop &loop, std::string_view address, const CallerLimits &callerLimits,
                CallerFaults &faults, Handler handler);
    ~LocalServer() override;
    LocalServer(const LocalServer &) = delete;
    LocalServer &operator=(const LocalServer &) = delete;

    unsigned port() const { return m_listener.port(); }

private:
    void onRequest(CallerConnection &connection, RequestHead head, std::string body,
                   Instant headReceivedAt) override;
    void onCallerDisconnected(CallerConnection & /*connection*/) override { }
    void onConnectionClosed(CallerConnection &connection) override;
    const ConnectionLimits &limits() const override { return m_limits; }
    CallerSet &callers() override { return m_callers; }
    bool isStopping() const override { return false; }
    void sweep();

    EventLoop &m_loop;
    const ConnectionLimits m_limits;
    const Handler m_handler;
    CallerSet m_callers;
    CallerListener m_listener;
    TimerQueue::Handle m_sweepTimer;
};

} // namespace monsoonsail
