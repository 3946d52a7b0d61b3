#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Buffers lines and writes them to a descriptor without blocking. Lines that don't fit into the
/// buffer are dropped and counted. Thread-safe.
class LogWriter
{
public:
    /// Doesn't take ownership of the descriptor.
    explicit LogWriter(int descriptor)
        : m_descriptor(descriptor)
    { }

    /// Adds a line to the buffer. `line` has no line break.
    void add(std::string_view line);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// Returns the number of lines dropped since the last call, and resets it.
    std::uint64_t takeDropped();

private:
    const int m_descriptor;
    std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace monsoonsail
