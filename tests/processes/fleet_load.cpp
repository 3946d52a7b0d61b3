#include "tests/processes/fleet_load.h"

#include "tests/support/caller.h"

#include <array>
#include <charconv>
#include <chrono>
#include <random>

namespace monsoonsail {

namespace {

constexpr unsigned callerCount = 24;
constexpr std::array paths{"/book/1", "/look/1", "/review/1", "/review/1"};
constexpr std::chrono::milliseconds callTimeout{1500};
constexpr std::chrono::milliseconds maxPause{40};
/// Prompt parts that requests share. Each one has its own home engines.
constexpr int promptPartCount = 200;

} // namespace

FleetLoad::FleetLoad(LargeFleet &fleet, std::uint64_t seed)
    : m_fleet(fleet)
{
    for (unsigned caller = 0; caller < callerCount; ++caller)
        m_threads.emplace_back([this, seed, caller] { send(seed * callerCount + caller); });
}

void FleetLoad::finish()
{
    m_isStopping = true;
    m_threads.clear();
}

unsigned FleetLoad::daemonOf(std::string_view request)
{
    unsigned daemon = LargeFleet::daemonCount;
    std::from_chars(request.data(), request.data() + request.size(), daemon);
    return daemon;
}

void FleetLoad::send(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](int max) {
        return std::uniform_int_distribution<int>(0, max)(random);
    };
    std::vector<Caller> connections(LargeFleet::daemonCount);
    while (!m_isStopping) {
        const auto daemon = static_cast<unsigned>(draw(LargeFleet::daemonCount - 1));
        const std::string id = std::to_string(daemon) + "-" + std::to_string(++m_callCount);
        const std::string part = "a" + std::to_string(draw(promptPartCount - 1)) + ":300";
        const CallResult result = connections.at(daemon).call(
                m_fleet.daemon(daemon).callerPort(),
                paths.at(static_cast<std::size_t>(draw(paths.size() - 1))), id, callTimeout, part);
        if (result.status == 200 && result.isComplete)
            ++m_servedCount;
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(maxPause.count())));
    }
}

} // namespace monsoonsail
