#pragma once

#include "tests/support/fake_platform.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/http_connection.h"
#include "tests/support/run_counter.h"
#include "tests/support/threaded_server.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace monsoonsail {

/// An endpoint behind a proxy. It lists itself at the platform, answers "/book/" and "/look/" with
/// the id of the request, and "/review/" with a stream that can be resumed.
class FakeEndpoint
{
public:
    static constexpr std::uint64_t eventsPerStream = 8;

    FakeEndpoint(FakePlatform &platform, RunCounter &runCounter, std::string instance,
                 std::string service, std::chrono::milliseconds workTime);
    ~FakeEndpoint();

    const std::string &instance() const { return m_instance; }
    const std::string &service() const { return m_service; }
    FaultProxy &proxy() { return m_proxy; }
    /// Reports that it leaves; it still serves what comes.
    void announceLeaving();
    /// Says in its answers that it leaves, and nowhere else; it still serves what comes.
    void announceLeavingInAnswers();
    /// Ends all its connections, and its entry, as a crash does.
    void crash();
    /// Returns the runs that began after it reported its leaving, and when the last of them did.
    std::chrono::milliseconds timeOfLastRunAfterLeaving() const
    {
        return m_timeOfLastRunAfterLeaving;
    }

private:
    void publishEntry(const std::string &state);
    void serve(RawSocket &socket);
    void stream(const HttpTestRequest &request, const std::string &id, RawSocket &socket);

    FakePlatform &m_platform;
    RunCounter &m_runCounter;
    const std::string m_instance;
    const std::string m_service;
    const std::chrono::milliseconds m_workTime;
    std::int64_t m_startTimeMs;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_announcesLeavingInAnswers = false;
    std::chrono::steady_clock::time_point m_leavingSince;
    std::atomic<std::chrono::milliseconds> m_timeOfLastRunAfterLeaving{};
    ThreadedServer m_server;
    FaultProxy m_proxy;
};

} // namespace monsoonsail
