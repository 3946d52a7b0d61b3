#pragma once

#include <atomic>
#include <cstddef>

namespace monsoonsail {

/// Counts the bytes of responses that are held in memory, for all endpoints together. Changed by
/// the traffic thread; any thread may read it.
class ResponseMemory
{
public:
    explicit ResponseMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    /// Replaces the count of one response.
    void update(std::size_t before, std::size_t after) { m_bytes += after - before; }
    bool isExceeded() const { return m_bytes > m_maxBytes; }
    std::size_t bytes() const { return m_bytes; }
    std::size_t maxBytes() const { return m_maxBytes; }

private:
    const std::size_t m_maxBytes;
    std::atomic<std::size_t> m_bytes = 0;
};

} // namespace monsoonsail
