#pragma once

#include "tests/support/caller.h"
#include "tests/support/test_site.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace monsoonsail {

/// Callers that send requests to all daemons of a site, and what they got.
class SoakLoad
{
public:
    struct Call
    {
        std::string path;
        CallResult result;
        std::string id;
        unsigned daemon = 0;
        bool wasDisturbed = false; ///< Whether the daemon could not be relied on meanwhile.
    };

    SoakLoad(TestSite &site, std::uint64_t seed);
    /// Says that a daemon gets a signal, after which it may not answer until markUndisturbed().
    void markDisturbed(unsigned daemon);
    void markUndisturbed(unsigned daemon);
    /// Waits for the calls under way and returns all of them.
    std::vector<Call> finish();

private:
    void send(std::uint64_t seed);

    TestSite &m_site;
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_lastId = 0;
    std::vector<std::atomic<unsigned>> m_disturbanceChanges; ///< Calls of the two, by daemon.
    std::vector<std::atomic<bool>> m_isDisturbed;
    std::mutex m_mutex;
    std::vector<Call> m_calls;
    std::vector<std::jthread> m_threads;
};

} // namespace monsoonsail
