#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace monsoonsail {

/// Tasks that are due at given instants, for use by one thread.
class TimerQueue
{
public:
    /// Names a scheduled task; the default value names none.
    struct Handle
    {
        Instant at;
        std::uint64_t number = 0;

        auto operator<=>(const Handle &other) const = default; // NOLINT(modernize-use-nullptr)
    };

    Handle schedule(Instant at, std::function<void()> task);
    /// Drops the task and clears the handle. Does nothing if it has run or names none.
    void cancel(Handle &handle);
    /// Runs every task that is due, those that it schedules for `now` or earlier included.
    void runDue(Instant now);
    std::optional<Instant> nextDeadline() const;

private:
    std::map<Handle, std::function<void()>> m_tasks;
    std::uint64_t m_lastNumber = 0;
};

} // namespace monsoonsail
