#pragma once

#include "tests/support/raw_socket.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace monsoonsail {

/// Listens on a free loopback port and serves each connection on its own thread.
class ThreadedServer
{
public:
    /// Interval in which threads check isStopping().
    static constexpr std::chrono::milliseconds stopPollInterval{50};

    /// Serves one connection until it is closed or isStopping() is true.
    using Handler = std::function<void(RawSocket &)>;

    explicit ThreadedServer(Handler handler);
    ~ThreadedServer();
    ThreadedServer(const ThreadedServer &) = delete;
    ThreadedServer &operator=(const ThreadedServer &) = delete;

    /// Closes all connections and accepts no new ones.
    void stop();
    bool isStopping() const { return m_stopping; }
    unsigned port() const { return m_listener.port(); }
    std::string address() const { return m_listener.address(); }

private:
    void accept();

    const Handler m_handler;
    RawListener m_listener;
    std::atomic<bool> m_stopping = false;
    std::list<std::jthread> m_connections; ///< Only used by m_acceptor.
    std::jthread m_acceptor;
};

} // namespace monsoonsail
