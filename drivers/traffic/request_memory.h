#pragma once

#include <cstddef>

namespace monsoonsail {

/// Counts the bytes of requests that are held in memory, for all callers of a listener together:
/// those that are incomplete, those that wait behind another one, and those that are running.
class RequestMemory
{
public:
    /// A caller that holds `guaranteedBytes` or less is never refused for the sum, nor one that is
    /// the only one to hold anything.
    RequestMemory(std::size_t maxBytes, std::size_t guaranteedBytes)
        : m_maxBytes(maxBytes)
        , m_guaranteedBytes(guaranteedBytes)
    { }

    /// Replaces the count of one caller or request.
    void update(std::size_t before, std::size_t after) { m_bytes += after - before; }
    bool isExceeded() const { return m_bytes > m_maxBytes; }
    /// Whether a caller that holds so much may have to be refused.
    bool mayRefuse(std::size_t heldBytes) const
    {
        return isExceeded() && heldBytes > m_guaranteedBytes && heldBytes < m_bytes;
    }
    std::size_t bytes() const { return m_bytes; }

private:
    const std::size_t m_maxBytes;
    const std::size_t m_guaranteedBytes;
    std::size_t m_bytes = 0;
};

} // namespace monsoonsail
