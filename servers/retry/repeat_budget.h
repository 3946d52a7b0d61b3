#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <deque>
#include <map>

namespace monsoonsail {

/// Limit on the repeated attempts that all entry instances together may send to the endpoints of a
/// service within a sliding window.
struct RepeatLimit
{
    double ratio = 0; ///< Repeats allowed for each request.
    double slack = 0; ///< Repeats allowed in addition, whatever the number of requests.
    Duration window{};
};

/// Keeps the repeated attempts of this entry instance within its share of the limit.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimit &limit)
        : m_limit(limit)
    { }

    void setLimit(const RepeatLimit &limit) { m_limit = limit; }
    /// Sets the number of entry instances that share the slack; at least 1.
    void setInstanceCount(unsigned instances) { m_instanceCount = instances; }
    /// Records a new request for the service.
    void recordRequest(const ServiceId &service, Instant now);
    /// Takes one repeat from the budget. Returns false if the budget is used up.
    bool tryConsume(const ServiceId &service, Instant now);
    /// Returns how many repeats the budget still allows.
    double remaining(const ServiceId &service, Instant now);

private:
    struct Slice
    {
        Instant begin;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    struct Usage
    {
        std::deque<Slice> slices;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Usage &currentUsage(const ServiceId &service, Instant now);

    RepeatLimit m_limit;
    unsigned m_instanceCount = 1;
    std::map<ServiceId, Usage> m_usage;
};

} // namespace monsoonsail
