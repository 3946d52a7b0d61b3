#pragma once

#include "core/instant.h"
#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/timer_queue.h"
#include "drivers/time/clock.h"

#include <pistache/os.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace monsoonsail {

/// Dispatches descriptor events, posted tasks and timers on the thread that calls run().
class EventLoop
{
public:
    enum class Interest {
        Read,
        ReadWrite,
        Write,
        Hangup, ///< Only reports that the peer has closed the connection, or an error.
    };

    /// `clock` must outlive the loop. Throws std::system_error if no eventfd can be created.
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles events, tasks and timers until stop() is called.
    void run();
    /// Ends run() after the current iteration. Thread-safe.
    void stop();
    /// Queues `task` to run on the loop's thread. Tasks run in the order in which they were posted.
    /// Thread-safe.
    void post(std::function<void()> task);

    // The following functions may only be called on the loop's thread.

    /// Registers a descriptor. `handler` must live until remove().
    void add(int descriptor, DescriptorHandler &handler, Interest interest);
    void change(int descriptor, Interest interest);
    void remove(int descriptor);

    TimerQueue &timers() { return m_timers; }
    /// Returns the time at which the current iteration began to handle events.
    Instant now() const { return m_now; }
    const Clock &clock() const { return m_clock; }

private:
    struct Registration
    {
        DescriptorHandler *handler = nullptr;
        std::uint32_t generation = 0; ///< Differs between descriptors with the same number.
    };

    Pistache::Polling::Tag pollTag(int descriptor) const;
    void runPostedTasks();
    int pollTimeoutMs() const;
    void dispatch(const std::vector<Pistache::Polling::Event> &events);

    const Clock &m_clock;
    Instant m_now;
    Pistache::Polling::Epoll m_poller;
    std::vector<Registration> m_registrations; ///< Indexed by descriptor.
    TimerQueue m_timers;
    int m_wakeup;
    std::atomic<bool> m_stopped = false;
    std::mutex m_postedTasksMutex;
    std::vector<std::function<void()>> m_postedTasks;
};

} // namespace monsoonsail
