#include "drivers/traffic/endpoint_call.h"

#include <utility>

namespace monsoonsail {

namespace {
constexpr std::uint32_t maxHeaderBytes = 16U * 1024;
constexpr std::uint64_t maxBodyBytes = 1024ULL * 1024;
} // namespace

EndpointCall::EndpointCall(EventLoop &loop, std::shared_ptr<EndpointConnection> connection,
                           Instant deadline, Callback callback)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_callback(std::move(callback))
    , m_reader(maxHeaderBytes, maxBodyBytes)
{
    m_reader.setBodySink([this](std::string_view bytes) { m_body.append(bytes); });
    m_connection->setUser(this);
    m_deadlineTimer = m_loop.timers().schedule(
            deadline, [this] { finish({.reason = "response timeout", .hasTimedOut = true}); });
}

EndpointCall::~EndpointCall()
{
    m_loop.timers().cancel(m_deadlineTimer);
    if (m_connection) {
        m_connection->setUser(nullptr);
        m_connection->close();
    }
}

void EndpointCall::send(std::string_view request)
{
    m_connection->send(request);
}

void EndpointCall::onBytesReceived(std::string &input)
{
    std::error_code error;
    input.erase(0, m_reader.read(input, error));
    if (error)
        finish({.reason = "the response is not valid HTTP: " + error.message()});
    else if (input.size() > maxHeaderBytes)
        finish({.reason = "the response is too long"});
    else if (m_reader.isComplete())
        finish({.status = m_reader.head().status, .body = std::move(m_body)});
}

void EndpointCall::onDisconnected(ConnectionEnd /*end*/, std::string_view reason)
{
    finish({.reason = std::string(reason)});
}

void EndpointCall::finish(Response response)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    m_loop.timers().cancel(m_deadlineTimer);
    connection->setUser(nullptr);
    connection->close();
    m_callback(response);
}

} // namespace monsoonsail
