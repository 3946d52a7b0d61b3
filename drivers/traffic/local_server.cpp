#include "drivers/traffic/local_server.h"

#include "drivers/traffic/response_writer.h"

#include <utility>
#include <vector>

namespace monsoonsail {

namespace {
constexpr Duration sweepInterval = std::chrono::seconds(1);
} // namespace

LocalServer::LocalServer(EventLoop &loop, std::string_view address, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, address, [this](Socket socket) {
        m_connections.insert(std::make_shared<CallerConnection>(
                m_loop, std::move(socket), static_cast<CallerConnectionOwner &>(*this)));
    })
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
}

LocalServer::~LocalServer()
{
    m_loop.timers().cancel(m_sweepTimer);
}

void LocalServer::onRequest(CallerConnection &connection, RequestHead head, std::string body,
                            Instant /*headReceivedAt*/)
{
    const Response response = m_handler(head, body);
    ResponseHead responseHead{.status = response.status,
                              .reason = response.status == 200 ? "OK" : "Error"};
    responseHead.fields.add("Content-Type", response.contentType);
    std::string output;
    const bool keepAlive = connection.mayKeepAlive();
    appendResponse(responseHead, response.body, head.method == "HEAD", keepAlive, output);
    connection.write(output);
    connection.endResponse(keepAlive);
}

void LocalServer::onConnectionClosed(CallerConnection &connection)
{
    m_connections.erase(connection.shared_from_this());
}

void LocalServer::sweep()
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
    const std::vector<std::shared_ptr<CallerConnection>> connections(m_connections.begin(),
                                                                     m_connections.end());
    for (const auto &connection : connections)
        connection->checkTimeouts(m_loop.now());
}

} // namespace monsoonsail
