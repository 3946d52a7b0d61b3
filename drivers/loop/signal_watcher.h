#pragma once

#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"

#include <functional>
#include <initializer_list>

namespace monsoonsail {

/// Reports signals of the process on an event loop. Only one may exist at a time.
class SignalWatcher : public DescriptorHandler
{
public:
    /// `onSignal` receives the number of each signal. Throws std::system_error if no pipe can be
    /// created.
    SignalWatcher(EventLoop &loop, std::initializer_list<int> signals,
                  std::function<void(int)> onSignal);
    ~SignalWatcher() override;
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

    void onReady(DescriptorState state) override;

private:
    EventLoop &m_loop;
    const std::function<void(int)> m_onSignal;
    int m_pipeReadEnd = -1;
};

} // namespace monsoonsail
