#include "drivers/traffic/caller_listener.h"

#include <utility>

namespace monsoonsail {

namespace {
/// Limits the connections accepted per loop iteration, so that a burst of new callers does not
/// delay the requests in progress.
constexpr int maxAcceptsPerEvent = 32;
/// Without it, a connection that can't be accepted would wake up the loop again and again.
constexpr Duration pauseTime = std::chrono::milliseconds(50);
} // namespace

CallerListener::CallerListener(EventLoop &loop, std::string_view address,
                               std::function<void(Socket)> onAccepted, MakeRoom makeRoom)
    : m_loop(loop)
    , m_socket(Socket::listening(address))
    , m_onAccepted(std::move(onAccepted))
    , m_makeRoom(std::move(makeRoom))
{
    m_loop.add(m_socket.descriptor(), *this, EventLoop::Interest::Read);
}

CallerListener::~CallerListener()
{
    m_loop.timers().cancel(m_resumeTimer);
    if (m_socket.isOpen())
        m_loop.remove(m_socket.descriptor());
}

void CallerListener::close()
{
    if (!m_socket.isOpen())
        return;
    std::error_code error;
    for (Socket socket = m_socket.accept(error); socket.isOpen(); socket = m_socket.accept(error))
        m_onAccepted(std::move(socket));
    m_loop.timers().cancel(m_resumeTimer);
    m_loop.remove(m_socket.descriptor());
    m_socket.close();
}

void CallerListener::onReady(DescriptorState /*state*/)
{
    for (int count = 0; count < maxAcceptsPerEvent; ++count) {
        std::error_code error;
        Socket socket = m_socket.accept(error);
        if (error && !m_makeRoom()) {
            pause();
            return;
        }
        if (error)
            continue;
        if (!socket.isOpen())
            return;
        m_onAccepted(std::move(socket));
    }
}

void CallerListener::pause()
{
    m_loop.change(m_socket.descriptor(), EventLoop::Interest::Hangup);
    m_loop.timers().cancel(m_resumeTimer);
    m_resumeTimer = m_loop.timers().schedule(m_loop.now() + pauseTime, [this] {
        m_loop.change(m_socket.descriptor(), EventLoop::Interest::Read);
    });
}

} // namespace monsoonsail
