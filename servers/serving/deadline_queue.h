#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <optional>
#include <set>
#include <utility>

namespace monsoonsail {

/// Requests in the order in which they next need attention.
class DeadlineQueue
{
public:
    /// Moves the request, or adds it. `previous` is the instant it was added with.
    void reschedule(RequestNumber request, Instant previous, Instant next)
    {
        m_entries.erase({previous, request});
        m_entries.emplace(next, request);
    }
    void remove(RequestNumber request, Instant at) { m_entries.erase({at, request}); }

    std::optional<Instant> earliest() const
    {
        if (m_entries.empty())
            return std::nullopt;
        return m_entries.begin()->first;
    }
    /// Returns a request that is due at `now`, or nothing.
    std::optional<RequestNumber> dueRequest(Instant now) const
    {
        if (m_entries.empty() || m_entries.begin()->first > now)
            return std::nullopt;
        return m_entries.begin()->second;
    }

private:
    std::set<std::pair<Instant, RequestNumber>> m_entries;
};

} // namespace monsoonsail
