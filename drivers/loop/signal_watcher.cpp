#include "drivers/loop/signal_watcher.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace monsoonsail {

namespace {

/// A signal handler may do little more than write to a descriptor.
volatile int pipeWriteEnd = -1;

extern "C" void forwardSignal(int signal)
{
    const int savedError = errno;
    const auto number = static_cast<unsigned char>(signal);
    [[maybe_unused]] const ssize_t written = ::write(pipeWriteEnd, &number, 1);
    errno = savedError;
}

} // namespace

SignalWatcher::SignalWatcher(EventLoop &loop, std::initializer_list<int> signals,
                             std::function<void(int)> received)
    : m_loop(loop)
    , m_received(std::move(received))
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::system_error(errno, std::system_category(), "cannot create the signal pipe");
    m_readEnd = ends[0];
    pipeWriteEnd = ends[1];
    m_loop.add(m_readEnd, *this, EventLoop::Interest::Read);
    struct sigaction action = {};
    action.sa_handler = &forwardSignal;
    action.sa_flags = SA_RESTART;
    for (const int signal : signals)
        ::sigaction(signal, &action, nullptr);
}

SignalWatcher::~SignalWatcher()
{
    m_loop.remove(m_readEnd);
    ::close(m_readEnd);
}

void SignalWatcher::onReady(DescriptorState /*state*/)
{
    std::array<unsigned char, 16> numbers{};
    const ssize_t size = ::read(m_readEnd, numbers.data(), numbers.size());
    for (ssize_t index = 0; index < size; ++index)
        m_received(numbers.at(static_cast<std::size_t>(index)));
}

} // namespace monsoonsail
