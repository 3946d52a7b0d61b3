#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace monsoonsail {

/// Tasks that are scheduled for given instants. Not thread-safe.
class TimerQueue
{
public:
    /// Identifies a scheduled task. The default value refers to no task.
    struct Handle
    {
        Instant at;
        std::uint64_t number = 0;

        auto operator<=>(const Handle &other) const = default; // NOLINT(modernize-use-nullptr)
    };

    Handle schedule(Instant at, std::function<void()> task);
    /// Removes the task and resets the handle. Tasks that have already run are ignored.
    void cancel(Handle &handle);
    /// Runs all tasks due at `now`, including those that they schedule for `now` or earlier.
    void runDue(Instant now);
    std::optional<Instant> nextDeadline() const;

private:
    std::map<Handle, std::function<void()>> m_tasks;
    std::uint64_t m_lastNumber = 0;
};

} // namespace monsoonsail
