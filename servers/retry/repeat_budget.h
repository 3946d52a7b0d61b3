#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <deque>
#include <map>

namespace monsoonsail {

/// How many repeated attempts the endpoints of one service may get within a sliding window, over
/// all entry instances together.
struct RepeatLimit
{
    double ratio = 0; ///< Repeats for each request.
    double slack = 0; ///< Repeats that are always allowed.
    Duration window{};
};

/// Keeps the repeated attempts of this entry instance within its part of the limit.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimit &limit)
        : m_limit(limit)
    { }

    void setLimit(const RepeatLimit &limit) { m_limit = limit; }
    /// Sets the number of entry instances that share the slack. At least 1.
    void setInstanceCount(unsigned instances) { m_instanceCount = instances; }
    /// Told of every new request for the service.
    void recordRequest(const ServiceId &service, Instant now);
    /// Takes one repeat from the budget. Returns false if it is used up.
    bool tryConsume(const ServiceId &service, Instant now);
    /// Returns how many repeats are left.
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
