#pragma once

#include "tests/support/endpoint_server.h"
#include "tests/support/fake_platform.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace monsoonsail {

/// Many endpoints that write heartbeats to the platform, announce that they leave and are replaced.
/// An endpoint serves requests until the end of the test, also after its entry has been removed.
class LightEndpoints
{
public:
    using Instant = std::chrono::steady_clock::time_point;

    /// An endpoint that has announced that it leaves.
    struct Leaving
    {
        std::string instance;
        Instant acknowledgedAt; ///< When the platform had stored the announcement.
    };

    explicit LightEndpoints(FakePlatform &platform);

    /// Adds an endpoint whose first entry is written at `startAt`.
    void add(const std::string &service, const std::string &zone, Instant startAt);
    /// Makes all endpoints of a zone announce that they leave, spread evenly from `begin` to `end`.
    /// Their entries are removed and their replacements start at the given times.
    void leave(const std::string &zone, Instant begin, Instant end, Instant replacedAt,
               Instant removedAt);
    std::vector<Leaving> leavings() const;
    std::vector<EndpointServer::Arrival> arrivals() const { return m_server.arrivals(); }
    /// Returns the longest time by which a write to the platform was late. It shows how busy the
    /// machine was.
    std::chrono::milliseconds worstDelay() const;

private:
    struct Entry
    {
        std::string instance;
        std::string service;
        std::string zone;
        std::string address;
        std::int64_t startTimeMs = 0;
        std::uint64_t sequence = 0;
        Instant nextWriteAt; ///< The first one is at the start.
        Instant leaveAt = Instant::max();
        Instant removeAt = Instant::max();
        bool isLeaving = false;
    };

    void run(const std::stop_token &stop);
    /// Writes what is due at `now`. Returns whether the entry has been removed.
    bool write(Entry &entry, Instant now);

    FakePlatform &m_platform;
    EndpointServer m_server;
    mutable std::mutex m_mutex; ///< Protects the members below.
    unsigned m_lastNumber = 0;
    std::vector<Entry> m_entries;
    std::vector<Leaving> m_leavings;
    std::chrono::milliseconds m_worstDelay{};
    std::jthread m_thread;
};

} // namespace monsoonsail
