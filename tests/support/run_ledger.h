#pragma once

#include <map>
#include <mutex>
#include <string>

namespace monsoonsail {

/// What all endpoints together have run, by the callers' ids of requests.
class RunLedger
{
public:
    void ran(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[request];
    }
    unsigned runs(const std::string &request) const
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_runs.find(request);
        return entry == m_runs.end() ? 0 : entry->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
};

} // namespace monsoonsail
