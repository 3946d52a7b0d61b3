#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "drivers/http/message_reader.h"
#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"
#include "servers/site/connection_limits.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

class CallerConnection;
class CallerSet;

/// Owns caller connections and receives their requests.
class CallerConnectionOwner
{
public:
    virtual ~CallerConnectionOwner() = default;

    /// Called for each complete request. The response is sent with write() and endResponse().
    virtual void onRequest(CallerConnection &connection, RequestHead head, std::string body,
                           Instant headReceivedAt) = 0;
    /// Called when the connection closed before the response was ended.
    virtual void onCallerDisconnected(CallerConnection &connection) = 0;
    /// Called when the connection has been closed. The owner removes it from its collection; the
    /// connection stays alive until the call returns.
    virtual void onConnectionClosed(CallerConnection &connection) = 0;
    virtual const ConnectionLimits &limits() const = 0;
    /// Returns the set that the connection belongs to.
    virtual CallerSet &callers() = 0;
    /// Whether connections must be closed after the current response.
    virtual bool isStopping() const = 0;
};

/// A connection of a caller. Requests are handled one at a time; pipelined requests wait in the
/// input buffer and, when that is full, in the socket.
class CallerConnection : public DescriptorHandler,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(EventLoop &loop, Socket socket, CallerConnectionOwner &owner);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void onReady(DescriptorState state) override;

    /// Sends bytes of the current response. Bytes that the socket does not accept are buffered.
    void write(std::string_view bytes);
    /// Ends the current response. Without `keepAlive`, the connection closes after the last byte.
    void endResponse(bool keepAlive);
    /// Whether the connection may stay open after the current response.
    bool mayKeepAlive() const { return m_mayKeepAlive && !m_owner.isStopping(); }
    /// Closes the connection immediately, even if buffered bytes are unsent.
    void close();
    /// Reads what has arrived and delivers complete requests. Then rejects an incomplete one, and
    /// closes the connection when its bytes are sent.
    void finish();
    /// Rejects the request or closes the connection if a deadline has passed.
    void checkTimeouts(Instant now);
    /// Refuses a request that is incomplete, and closes the connection; without one, only closes
    /// it. Must not be called while a response is in progress.
    void refuse(ErrorKind kind);
    /// Drops what has arrived behind the request that is being answered. The connection closes
    /// after its answer.
    void discardInput();
    bool isOpen() const { return m_socket.isOpen(); }
    bool isResponding() const { return m_isResponding; }
    /// Whether it holds input that is no whole request, or waits behind the one being answered.
    bool isRefusable() const;
    /// Returns the bytes of memory that incomplete and waiting requests take.
    std::size_t requestBytes() const { return m_requestBytes; }
    /// Since when it has been waiting for a whole request: since it was accepted, the last response
    /// ended or the request began.
    Instant waitingSince() const { return m_waitingSince; }
    /// Returns the number of response bytes that the socket has not accepted.
    std::size_t unsentBytes() const { return m_output.size(); }
    /// Whether no response is in progress and no bytes are buffered in either direction.
    bool isIdle() const { return !m_isResponding && m_input.empty() && m_output.empty(); }

private:
    /// Whether a request may not begin before earlier responses are sent.
    bool isBlocked() const;
    /// Returns whether bytes were received, at most `maxBytes`.
    bool receive(std::size_t maxBytes);
    void processInput();
    /// Returns false if more input is needed, or the request was refused.
    bool readRequest();
    void appendBody(std::string_view bytes);
    void countRequestBytes();
    void countUnreadBytes();
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
    std::size_t m_requestBytes = 0; ///< As counted by the set.
    std::size_t m_unreadBytes = 0;  ///< As counted by the set.
    Instant m_headReceivedAt;       ///< When the head of the current request was complete.
    /// For the whole header, then for the next bytes of the body; otherwise for the next request.
    Instant m_readDeadline;
    Instant m_requestDeadline; ///< For the whole request.
    Instant m_waitingSince;
    Instant m_writeDeadline; ///< For a caller that does not read the response.
    bool m_isResponding = false;
    bool m_mayKeepAlive = true;
    bool m_closeAfterSending = false;
    bool m_isProcessing = false;
    EventLoop::Interest m_interest = EventLoop::Interest::Read;
};

} // namespace monsoonsail
