#pragma once

#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"

#include <functional>
#include <string_view>

namespace monsoonsail {

/// Listens on an address and accepts the connections of callers.
class CallerListener : public DescriptorHandler
{
public:
    /// Frees a descriptor. Returns false if it can't.
    using MakeRoom = std::function<bool()>;

    /// Throws std::system_error if the address can't be bound. `makeRoom` is called when no
    /// descriptor is left for a connection.
    CallerListener(EventLoop &loop, std::string_view address,
                   std::function<void(Socket)> onAccepted, MakeRoom makeRoom);
    ~CallerListener() override;
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    void onReady(DescriptorState state) override;
    /// Accepts all connections that are waiting, and no further ones.
    void close();
    unsigned port() const { return m_socket.port(); }

private:
    /// Accepts nothing for a time.
    void pause();

    EventLoop &m_loop;
    Socket m_socket;
    std::function<void(Socket)> m_onAccepted;
    MakeRoom m_makeRoom;
    TimerQueue::Handle m_resumeTimer; ///< Set while nothing is accepted.
};

} // namespace monsoonsail
