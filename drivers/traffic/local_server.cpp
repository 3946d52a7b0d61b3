#include "drivers/traffic/local_server.h"

#include "drivers/traffic/response_writer.h"

#include <utility>

namespace monsoonsail {

namespace {
constexpr Duration sweepInterval = std::chrono::seconds(1);
/// The requests have no bodies of use.
constexpr std::uint64_t maxBodyBytes = 64UL * 1024;
} // namespace

LocalServer::LocalServer(EventLoop &loop, std::string_view address,
                         const CallerLimits &callerLimits, CallerFaults &faults, Handler handler)
    : m_loop(loop)
    , m_limits{.maxBodyBytes = maxBodyBytes}
    , m_handler(std::move(handler))
    , m_callers(loop, *this, callerLimits, faults)
    , m_listener(
              loop, address, [this](Socket socket) { m_callers.accept(std::move(socket)); },
              [this] { return m_callers.closeLongestWaiting(CallerFault::NoDescriptors); })
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
    m_callers.remove(connection);
}

void LocalServer::sweep()
{
    m_sweepTimer = m_loop.timers().schedule(m_loop.now() + sweepInterval, [this] { sweep(); });
    m_callers.checkTimeouts(m_loop.now());
}

} // namespace monsoonsail
