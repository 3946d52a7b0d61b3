#pragma once

#include <map>
#include <mutex>
#include <string>

namespace monsoonsail {

/// Counts how often all endpoints together have run each request, by the id that the caller gave
/// it. Thread-safe.
class RunCounter
{
public:
    void countRun(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runCounts[request];
    }
    unsigned runCount(const std::string &request) const
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_runCounts.find(request);
        return entry == m_runCounts.end() ? 0 : entry->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runCounts;
};

} // namespace monsoonsail
