#pragma once

#include "drivers/loop/event_loop.h"
#include "drivers/time/system_clock.h"

#include <functional>
#include <future>
#include <thread>

namespace monsoonsail {

/// An event loop that runs on its own thread.
class LoopThread
{
public:
    LoopThread()
        : m_loop(m_clock)
        , m_thread([this] { m_loop.run(); })
    { }
    ~LoopThread() { m_loop.stop(); }
    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    EventLoop &loop() { return m_loop; }
    /// Runs `task` on the loop's thread and waits until it has finished.
    void runAndWait(const std::function<void()> &task)
    {
        std::promise<void> done;
        m_loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    SystemClock m_clock;
    EventLoop m_loop;
    std::jthread m_thread;
};

} // namespace monsoonsail
