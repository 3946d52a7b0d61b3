#pragma once

#include "tests/processes/large_fleet.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace monsoonsail {

/// Callers that send requests to random daemons of a fleet, on threads of their own. The id of a
/// request tells to which daemon it was sent.
class FleetLoad
{
public:
    FleetLoad(LargeFleet &fleet, std::uint64_t seed);
    /// Stops the callers and waits for the calls in progress.
    ~FleetLoad() { finish(); }
    void finish();

    unsigned callCount() const { return m_callCount; }
    unsigned servedCount() const { return m_servedCount; }

    /// Returns the number of the daemon to which the request was sent.
    static unsigned daemonOf(std::string_view request);

private:
    void send(std::uint64_t seed);

    LargeFleet &m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::atomic<unsigned> m_callCount = 0;
    std::atomic<unsigned> m_servedCount = 0;
    std::vector<std::jthread> m_threads;
};

} // namespace monsoonsail
