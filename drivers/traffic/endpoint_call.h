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

/// A call of our own to an endpoint, on a connection that is closed afterwards.
class EndpointCall : private EndpointConnectionUser
{
public:
    struct Answer
    {
        int status = 0; ///< 0 if there was no whole answer.
        std::string body;
        std::string reason; ///< Cause, without an answer.
    };
    using Done = std::function<void(const Answer &)>;

    /// `done` is called once, unless the call is dropped before.
    EndpointCall(EventLoop &loop, std::shared_ptr<EndpointConnection> connection, Instant deadline,
                 Done done);
    ~EndpointCall() override;
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;

    void send(std::string_view request);
    /// Whether done was called; the call can be dropped.
    bool isOver() const { return m_connection == nullptr; }

private:
    void received(std::string &input) override;
    void broken(bool inOrder, std::string_view reason) override;
    void connected() override { }
    void finish(Answer answer);

    EventLoop &m_loop;
    std::shared_ptr<EndpointConnection> m_connection;
    const Done m_done;
    HttpResponseReader m_reader;
    std::string m_body;
    TimerQueue::Handle m_timer;
};

} // namespace monsoonsail
