#include "tests/support/connection_threads.h"

#include <utility>

namespace monsoonsail {

ConnectionThreads::ConnectionThreads(Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor([this] { accept(); })
{ }

ConnectionThreads::~ConnectionThreads()
{
    stop();
}

void ConnectionThreads::stop()
{
    m_stopping = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
}

void ConnectionThreads::accept()
{
    while (!m_stopping) {
        RawSocket socket = m_listener.accept(stopCheck);
        if (socket.isOpen())
            m_connections.emplace_back(
                    [this, connection = std::move(socket)]() mutable { m_handler(connection); });
    }
    m_connections.clear();
}

} // namespace monsoonsail
