#include "tests/support/threaded_server.h"

#include <utility>

namespace monsoonsail {

ThreadedServer::ThreadedServer(Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor([this] { accept(); })
{ }

ThreadedServer::~ThreadedServer()
{
    stop();
}

void ThreadedServer::stop()
{
    m_stopping = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
}

void ThreadedServer::accept()
{
    while (!m_stopping) {
        RawSocket socket = m_listener.accept(stopPollInterval);
        if (socket.isOpen())
            m_connections.emplace_back(
                    [this, connection = std::move(socket)]() mutable { m_handler(connection); });
    }
    m_connections.clear();
}

} // namespace monsoonsail
