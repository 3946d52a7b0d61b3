#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "drivers/http/message_reader.h"
#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"
#include "servers/site/connection_limits.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

class CallerConnection;

/// Receives the requests of caller connections.
class CallerConnectionOwner
{
public:
    virtual ~CallerConnectionOwner() = default;

    /// A whole request is here. It is answered with write() and endAnswer().
    virtual void onRequest(CallerConnection &connection, RequestHead head, std::string body,
                           Instant headReceivedAt) = 0;
    /// The caller has closed, or can't be written to, before its answer was ended.
    virtual void onCallerDisconnected(CallerConnection &connection) = 0;
    /// The connection is closed. The owner drops it, but not before this call has returned.
    virtual void onConnectionClosed(CallerConnection &connection) = 0;
    virtual const ConnectionLimits &limits() const = 0;
    /// Whether callers shall not use their connections again.
    virtual bool isStopping() const = 0;
};

/// One connection of a caller. Requests are handled one after the other; those that come early
/// stay in the socket.
class CallerConnection : public DescriptorHandler,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(EventLoop &loop, Socket socket, CallerConnectionOwner &owner);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void onReady(DescriptorState state) override;

    /// Sends bytes of the current answer, later if the caller is slow.
    void write(std::string_view bytes);
    /// Ends the current answer. Without `keep` the connection closes once everything is sent.
    void endResponse(bool keepAlive);
    /// Whether the answer that is being written may leave the connection open.
    bool mayKeepAlive() const { return m_mayKeepAlive && !m_owner.isStopping(); }
    /// Closes the connection at once.
    void close();
    /// Closes a connection whose caller takes too long.
    void checkTimeouts(Instant now);
    bool isOpen() const { return m_socket.isOpen(); }
    /// Whether no request is being received or answered.
    bool isIdle() const { return !m_isResponding && m_input.empty() && m_output.empty(); }

private:
    void receive();
    void processInput();
    void startReader();
    void deliverRequest();
    void reject(ErrorKind kind);
    void flush();
    void updateInterest();

    EventLoop &m_loop;
    Socket m_socket;
    CallerConnectionOwner &m_owner;
    std::string m_input;
    std::string m_output;
    std::optional<HttpRequestReader> m_reader;
    std::string m_body;
    Instant m_headReceivedAt; ///< When the head of the current request was complete.
    Instant m_readDeadline;   ///< For the next bytes of a request, or for the next request.
    Instant m_writeDeadline;  ///< For a caller that does not read.
    bool m_isResponding = false;
    bool m_mayKeepAlive = true;
    bool m_closeAfterSending = false;
    bool m_isProcessing = false;
    EventLoop::Interest m_interest = EventLoop::Interest::Read;
};

} // namespace monsoonsail
