#include "drivers/traffic/endpoint_call.h"

#include <utility>

namespace monsoonsail {

namespace {
constexpr std::uint32_t maxHeaderBytes = 16U * 1024;
constexpr std::uint64_t maxBodyBytes = 64ULL * 1024;
/// For interim responses and responses to other requests that precede the expected one.
constexpr unsigned maxSkippedResponses = 16;
} // namespace

EndpointCall::EndpointCall(EventLoop &loop, std::shared_ptr<EndpointConnection> connection,
                           Instant deadline, ResponseFilter filter, Callback callback)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_filter(std::move(filter))
    , m_callback(std::move(callback))
{
    startReader();
    m_connection->setUser(this);
    m_deadlineTimer = m_loop.timers().schedule(
            deadline, [this] { finish({.reason = "response timeout", .hasTimedOut = true}); });
}

EndpointCall::~EndpointCall()
{
    m_loop.timers().cancel(m_deadlineTimer);
    m_loop.timers().cancel(m_overdueTimer);
    if (m_connection) {
        m_connection->setUser(nullptr);
        m_connection->reset();
    }
}

void EndpointCall::send(std::string_view request)
{
    m_connection->send(request);
}

void EndpointCall::setOverdueHandler(Instant at, std::function<void()> handler)
{
    m_overdueTimer = m_loop.timers().schedule(at, std::move(handler));
}

void EndpointCall::startReader()
{
    m_body.clear();
    m_reader.emplace(maxHeaderBytes, maxBodyBytes);
    m_reader->setBodySink([this](std::string_view bytes) { m_body.append(bytes); });
}

void EndpointCall::onBytesReceived(std::string &input)
{
    while (!input.empty()) {
        std::error_code error;
        input.erase(0, m_reader->read(input, error));
        if (error) {
            finish({.reason = "the response is not valid HTTP: " + error.message()});
            return;
        }
        if (!m_reader->isComplete()) {
            if (input.size() > maxHeaderBytes)
                finish({.reason = "the response is too long"});
            return;
        }
        if (m_reader->head().status >= minFinalStatus && m_filter(m_reader->head())) {
            finish({.status = m_reader->head().status,
                    .body = std::move(m_body),
                    .keepsConnection = m_reader->head().keepAlive});
            return;
        }
        if (++m_skippedResponses > maxSkippedResponses) {
            finish({.reason = "too many responses to other requests"});
            return;
        }
        startReader();
    }
}

void EndpointCall::onDisconnected(ConnectionEnd end, std::string_view reason)
{
    // A response without a length is complete when the endpoint closes the connection without an
    // error.
    std::error_code error;
    if (end == ConnectionEnd::Orderly && m_reader->isHeadComplete()
        && m_reader->endsAtConnectionClose() && m_filter(m_reader->head())) {
        m_reader->readEndOfStream(error);
        if (!error) {
            finish({.status = m_reader->head().status, .body = std::move(m_body)});
            return;
        }
    }
    finish({.reason = std::string(reason)});
}

void EndpointCall::finish(Response response)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    m_loop.timers().cancel(m_deadlineTimer);
    m_loop.timers().cancel(m_overdueTimer);
    response.wasSent = connection->hasSent();
    connection->setUser(nullptr);
    // What the endpoint has not acknowledged must not reach it after the call was given up.
    if (m_reader->isComplete())
        connection->close();
    else
        connection->reset();
    m_callback(response);
}

} // namespace monsoonsail
