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

/// Global, since the signal handler needs it. A handler may only call async-signal-safe functions,
/// so it writes the number of the signal to a pipe.
volatile int signalPipeWriteEnd = -1;

extern "C" void forwardSignal(int signal)
{
    const int savedErrno = errno;
    const auto number = static_cast<unsigned char>(signal);
    [[maybe_unused]] const ssize_t written = ::write(signalPipeWriteEnd, &number, 1);
    errno = savedErrno;
}

} // namespace

SignalWatcher::SignalWatcher(EventLoop &loop, std::initializer_list<int> signals,
                             std::function<void(int)> onSignal)
    : m_loop(loop)
    , m_onSignal(std::move(onSignal))
{
    std::array<int, 2> pipeEnds{};
    if (::pipe2(pipeEnds.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::system_error(errno, std::system_category(), "cannot create the signal pipe");
    m_pipeReadEnd = pipeEnds[0];
    signalPipeWriteEnd = pipeEnds[1];
    m_loop.add(m_pipeReadEnd, *this, EventLoop::Interest::Read);
    struct sigaction action = {};
    action.sa_handler = &forwardSignal;
    action.sa_flags = SA_RESTART;
    for (const int signal : signals)
        ::sigaction(signal, &action, nullptr);
}

SignalWatcher::~SignalWatcher()
{
    m_loop.remove(m_pipeReadEnd);
    ::close(m_pipeReadEnd);
}

void SignalWatcher::onReady(DescriptorState /*state*/)
{
    std::array<unsigned char, 16> numbers{};
    const ssize_t size = ::read(m_pipeReadEnd, numbers.data(), numbers.size());
    for (ssize_t index = 0; index < size; ++index)
        m_onSignal(numbers.at(static_cast<std::size_t>(index)));
}

} // namespace monsoonsail
