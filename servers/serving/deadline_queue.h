#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace monsoonsail {

/// Requests, ordered by the time at which they are due.
class DeadlineQueue
{
public:
    /// Sets the function to call when a request becomes the one that is due first.
    void setEarlierHandler(std::function<void()> handler) { m_earlierHandler = std::move(handler); }

    /// Adds the request, or changes its time from `previous` to `next`.
    void reschedule(RequestNumber request, Instant previous, Instant next)
    {
        m_entries.erase({previous, request});
        const auto entry = m_entries.emplace(next, request).first;
        if (entry == m_entries.begin() && m_earlierHandler)
            m_earlierHandler();
    }
    void remove(RequestNumber request, Instant at) { m_entries.erase({at, request}); }

    std::optional<Instant> earliest() const
    {
        if (m_entries.empty())
            return std::nullopt;
        return m_entries.begin()->first;
    }
    /// Returns the first request that is due at `now`, if any.
    std::optional<RequestNumber> dueRequest(Instant now) const
    {
        if (m_entries.empty() || m_entries.begin()->first > now)
            return std::nullopt;
        return m_entries.begin()->second;
    }

private:
    std::set<std::pair<Instant, RequestNumber>> m_entries;
    std::function<void()> m_earlierHandler;
};

} // namespace monsoonsail
