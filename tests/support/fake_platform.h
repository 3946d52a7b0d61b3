#pragma once

#include "tests/support/http_connection.h"
#include "tests/support/threaded_server.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace monsoonsail {

/// Fake of the platform's store and duty API, as far as entry daemons use them, on one port.
class FakePlatform
{
public:
    enum class Health {
        Up,
        Refusing, ///< Answers 503.
        Silent,   ///< Accepts calls and never answers.
    };

    FakePlatform();
    ~FakePlatform();

    std::string address() const { return m_server.address(); }
    void setHealth(Health health);
    /// Appends a record as an operator or an endpoint does. An empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Returns the number of accepted calls of /usage and /scale.
    unsigned acceptedReportCount() const { return m_acceptedReportCount; }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    void serve(RawSocket &socket);
    void handle(const HttpTestRequest &request, const HttpConnection &connection);
    void append(const HttpTestRequest &request, const HttpConnection &connection);
    void read(const HttpTestRequest &request, const HttpConnection &connection);
    void readNewest(const HttpTestRequest &request, const HttpConnection &connection);
    void report(const HttpTestRequest &request, const HttpConnection &connection);

    std::atomic<Health> m_health = Health::Up;
    std::atomic<unsigned> m_acceptedReportCount = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
    std::uint64_t m_fencingNumber = 0; ///< Highest fencing number of the duty calls so far.
    ThreadedServer m_server;
};

} // namespace monsoonsail
