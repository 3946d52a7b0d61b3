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

/// Listens on a free port of this machine and serves each connection on a thread of its own.
class ThreadedServer
{
public:
    /// Threads look this often whether they are to end.
    static constexpr std::chrono::milliseconds stopPollInterval{50};

    /// Serves one connection until it ends or isStopping().
    using Handler = std::function<void(RawSocket &)>;

    explicit ThreadedServer(Handler handler);
    ~ThreadedServer();
    ThreadedServer(const ThreadedServer &) = delete;
    ThreadedServer &operator=(const ThreadedServer &) = delete;

    /// Ends all connections and takes no more.
    void stop();
    bool isStopping() const { return m_stopping; }
    unsigned port() const { return m_listener.port(); }
    std::string address() const { return m_listener.address(); }

private:
    void accept();

    const Handler m_handler;
    RawListener m_listener;
    std::atomic<bool> m_stopping = false;
    std::list<std::jthread> m_connections; ///< Used by the thread that accepts.
    std::jthread m_acceptor;
};

} // namespace monsoonsail
