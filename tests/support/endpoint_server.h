#pragma once

#include "tests/support/http_connection.h"
#include "tests/support/raw_socket.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace monsoonsail {

/// Serves the requests of many endpoints on one thread. Each endpoint has a port of its own.
/// Answers
/// "/look/" and "/book/" with the id of the request and "/review/" with a short stream.
class EndpointServer
{
public:
    /// A request that an endpoint ran.
    struct Arrival
    {
        std::string request;  ///< Its X-Attempt-Id.
        std::string instance; ///< The endpoint.
        std::chrono::steady_clock::time_point at;
    };

    EndpointServer();
    ~EndpointServer();
    EndpointServer(const EndpointServer &) = delete;
    EndpointServer &operator=(const EndpointServer &) = delete;

    /// Adds an endpoint and returns its "IP:port". It answers requests to other instances with 421.
    std::string add(const std::string &instance);
    std::vector<Arrival> arrivals() const;

private:
    struct Listener
    {
        std::string instance;
        std::unique_ptr<RawListener> listener;
    };

    struct Connection
    {
        std::string instance;
        RawSocket socket;
        std::string buffered;
    };

    struct Answer
    {
        int descriptor = -1;
        std::string text;
    };

    void run();
    void accept(const Listener &listener);
    void receive(int descriptor);
    void handle(const HttpTestRequest &request, int descriptor, const Connection &connection);
    void sendDueAnswers();
    void watch(int descriptor) const;

    const int m_poll;
    std::map<int, Connection> m_connections; ///< By descriptor; only used by m_thread.
    std::multimap<std::chrono::steady_clock::time_point, Answer> m_answers; ///< As above, by time.
    mutable std::mutex m_mutex; ///< Protects the members below.
    std::map<int, Listener> m_listeners;
    std::vector<Arrival> m_arrivals;
    std::jthread m_thread;
};

} // namespace monsoonsail
