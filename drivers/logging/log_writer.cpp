#include "drivers/logging/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace monsoonsail {

namespace {
/// Lines that wait until the descriptor is writable: about one second of output at the maximum
/// lines per second.
constexpr std::size_t maxBufferedBytes = 256UL * 1024;

/// Returns whether up to PIPE_BUF bytes can be written without blocking.
bool isWritable(int descriptor)
{
    pollfd polled{.fd = descriptor, .events = POLLOUT};
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
}
} // namespace

void LogWriter::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() > maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    m_buffer.append(line).push_back('\n');
}

void LogWriter::flush()
{
    const std::lock_guard lock(m_mutex);
    std::size_t written = 0;
    // A writable pipe has room for PIPE_BUF bytes; writing more at once could block.
    while (written < m_buffer.size() && isWritable(m_descriptor)) {
        const std::size_t size = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, size);
        if (count <= 0 && errno != EINTR)
            break;
        written += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    m_buffer.erase(0, written);
}

std::uint64_t LogWriter::takeDropped()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_dropped, 0);
}

} // namespace monsoonsail
