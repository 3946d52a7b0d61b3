#include "tests/processes/contact_log.h"

#include <algorithm>

namespace monsoonsail {

void ContactLog::beginDisturbance(unsigned daemon)
{
    std::vector<Disturbance> &disturbances = m_disturbances[daemon];
    if (disturbances.empty() || disturbances.back().openCount == 0)
        disturbances.push_back({.begin = std::chrono::steady_clock::now()});
    ++disturbances.back().openCount;
}

void ContactLog::endDisturbance(unsigned daemon)
{
    Disturbance &disturbance = m_disturbances.at(daemon).back();
    if (--disturbance.openCount == 0)
        disturbance.end = std::chrono::steady_clock::now();
}

bool ContactLog::wasDisturbed(unsigned daemon, Instant from, Instant until) const
{
    const auto entry = m_disturbances.find(daemon);
    return entry != m_disturbances.end()
            && std::ranges::any_of(entry->second, [from, until](const Disturbance &disturbance) {
                   return disturbance.begin <= until && disturbance.end >= from;
               });
}

} // namespace monsoonsail
