#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Writes lines to a descriptor without ever blocking on it. Lines that don't fit are dropped and
/// counted.
class LogWriter
{
public:
    /// The descriptor is not owned.
    explicit LogWriter(int descriptor)
        : m_descriptor(descriptor)
    { }

    /// Adds a line, without its line break; from any thread.
    void add(std::string_view line);
    /// Writes what the descriptor takes; from any thread.
    void flush();
    /// Returns the lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    const int m_descriptor;
    std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace monsoonsail
