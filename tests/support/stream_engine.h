#pragma once

#include "tests/support/fake_platform.h"
#include "tests/support/http_connection.h"
#include "tests/support/raw_socket.h"
#include "tests/support/threaded_server.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace monsoonsail {

/// An engine that publishes itself on the platform and answers each request with a stream. Its
/// events name its software version. It answers orders to stop a run as a test has set.
class StreamEngine
{
public:
    enum class Framing {
        Chunks,
        Connection, ///< Streams end with their connection.
    };

    /// How it answers an order to stop a run.
    enum class OrderAnswer {
        Handle,         ///< 200 with a handle.
        UnframedHandle, ///< 200 with a handle and without a length; ends with its connection.
        KeptAtSource,   ///< 503 with a handle.
        BareRefusal,    ///< 503 without a handle.
        NotFound,       ///< 404.
        InProgress,     ///< 409.
        Disconnection,  ///< The connection is closed.
        None,
    };

    /// What becomes of an order to stop a run.
    struct OrderFate
    {
        OrderAnswer answer = OrderAnswer::Handle;
        std::chrono::milliseconds answerDelay{0};
        /// Whether the run stops, and its stream closes without its end.
        bool stopsRun = true;
        std::chrono::milliseconds stopDelay{0};
    };

    struct Settings
    {
        Framing framing = Framing::Chunks;
        std::uint64_t events = 60;
        std::chrono::milliseconds eventInterval{20};
        OrderFate orderFate;
        std::string version = "v1";
        /// Whether it closes each connection on which it has answered a status check.
        bool closesAfterStatusChecks = false;
    };

    /// A stream that it began or went on with.
    struct Run
    {
        std::string request;     ///< Its X-Attempt-Id.
        std::uint64_t after = 0; ///< Event after which it begins.
        std::string version;
    };

    StreamEngine(FakePlatform &platform, std::string instance, std::string service,
                 Settings settings);
    ~StreamEngine();
    StreamEngine(const StreamEngine &) = delete;
    StreamEngine &operator=(const StreamEngine &) = delete;

    const std::string &instance() const { return m_instance; }
    std::string version() const;
    /// Writes an entry of the present incarnation.
    void list() { publishEntry("ready"); }
    void announceLeaving() { publishEntry("draining"); }
    /// Removes its entry on the platform.
    void unlist() { m_platform.put("keyed.servers", m_instance, ""); }
    /// Resets all connections, and each new one until start(). Its entry stays.
    void crash();
    /// Runs again after a crash as another incarnation with this version. `isListed` tells whether
    /// it writes an entry at once.
    void start(const std::string &version, bool isListed = true);
    /// Sends nothing while it is silent, and then goes on.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    /// Closes the connections of all running streams.
    void breakOffStreams();
    std::vector<Run> runs() const;
    /// Returns the number of orders to stop a run that it has received.
    unsigned orderCount() const { return m_orderCount; }

private:
    using Flag = std::shared_ptr<std::atomic<bool>>;

    void publishEntry(const std::string &state);
    void serve(RawSocket &socket);
    void stream(const HttpTestRequest &request, RawSocket &socket);
    /// Answers an order. Returns whether the connection stays open.
    bool handleOrder(const HttpTestRequest &request, const HttpConnection &connection,
                     const RawSocket &socket);
    /// Sleeps, but not beyond a crash or the end of the server. Returns whether it slept for all of
    /// the time.
    bool sleep(std::chrono::milliseconds time, unsigned incarnation) const;

    FakePlatform &m_platform;
    const std::string m_instance;
    const std::string m_service;
    const Settings m_settings;
    std::atomic<unsigned> m_incarnation = 0;
    std::atomic<bool> m_isDown = false;
    std::atomic<bool> m_isSilent = false;
    std::atomic<unsigned> m_orderCount = 0;
    mutable std::mutex m_mutex; ///< Protects the members below.
    std::string m_version;
    std::int64_t m_startTimeMs = 0;
    std::uint64_t m_sequence = 0;
    std::vector<Run> m_runs;
    std::map<std::string, Flag> m_stopFlags; ///< Of running streams, by X-Attempt-Id.
    ThreadedServer m_server;
};

/// Returns the configuration of a site with the routes /review/ (resumable) and /plan/ (not) of
/// host club.example, which lead to the engines of the service "model", and the API key "key".
std::string streamSiteConfiguration(unsigned revision = 1);

} // namespace monsoonsail
