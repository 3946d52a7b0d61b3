#pragma once

#include "core/instant.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace monsoonsail {

/// Runs tasks in the order of their instants, without waiting in between.
class VirtualScheduler
{
public:
    Instant now() const { return m_now; }
    /// Runs the task at `at`, or next if that has passed. Tasks of one instant run in the order in
    /// which they were scheduled.
    void at(Instant at, std::function<void()> task);
    /// Runs the tasks that are due until `end`, which is the current instant afterwards.
    void runUntil(Instant end);

private:
    struct Entry
    {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> task;
    };

    static bool isLater(const Entry &left, const Entry &right);

    Instant m_now = instantFromMicroseconds(1'000'000'000);
    std::uint64_t m_lastNumber = 0;
    std::vector<Entry> m_heap; ///< The entry that is due first is at the front.
};

} // namespace monsoonsail
