#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace monsoonsail {

/// Why a caller was refused or its connection closed before its request reached the core.
enum class CallerFault {
    MalformedRequest,
    HeaderTooLong, ///< The header, chunk extensions and trailers.
    BodyTooLong,
    RequestTimeout,
    RequestMemory,      ///< It held the most while all requests together held too much.
    InputDiscarded,     ///< As before, but what waited behind a running request was dropped.
    UnreadAnswers,      ///< It left the most unread while all callers left too much.
    TooManyConnections, ///< Its connection had waited longest for a request.
    NoDescriptors,      ///< As before, since the process had no descriptor left.
    DigestMemory,       ///< A datagram, while the digests of all instances hold too much.
};

inline constexpr std::array<std::string_view, 10> callerFaultNames{
        "malformed-request", "header-too-long", "body-too-long",  "request-timeout",
        "request-memory",    "input-discarded", "unread-answers", "too-many-connections",
        "no-descriptors",    "digest-memory"};

/// Counts the faults of callers. Thread-safe.
class CallerFaults
{
public:
    using Counts = std::array<std::uint64_t, callerFaultNames.size()>;

    void count(CallerFault fault) { ++m_counts[static_cast<std::size_t>(fault)]; }
    /// Returns the counts in the order of callerFaultNames.
    Counts counts() const
    {
        Counts copy{};
        for (std::size_t index = 0; index < copy.size(); ++index)
            copy[index] = m_counts[index];
        return copy;
    }

private:
    std::array<std::atomic<std::uint64_t>, callerFaultNames.size()> m_counts{};
};

} // namespace monsoonsail
