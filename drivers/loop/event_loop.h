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

/// Watches descriptors and timers on the one thread that calls run().
class EventLoop
{
public:
    enum class Interest {
        Read,
        ReadWrite,
        Hangup, ///< Neither reads nor writes; only the other end's close is reported.
    };

    /// `clock` must outlive the loop. Throws std::system_error if no descriptor is free.
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles readiness, tasks and timers until stop().
    void run();
    /// Ends run() after the current round; from any thread.
    void stop();
    /// Has the loop's thread run `task`; from any thread. Tasks run in the order of their posts.
    void post(std::function<void()> task);

    // The following are for the loop's thread only.

    /// `handler` must stay until remove().
    void add(int descriptor, DescriptorHandler &handler, Interest interest);
    void change(int descriptor, Interest interest);
    void remove(int descriptor);

    TimerQueue &timers() { return m_timers; }
    /// Returns the instant at which the current round began.
    Instant now() const { return m_now; }
    const Clock &clock() const { return m_clock; }

private:
    struct Registration
    {
        DescriptorHandler *handler = nullptr;
        std::uint32_t generation = 0; ///< Tells events of an earlier owner of the number apart.
    };

    Pistache::Polling::Tag pollTag(int descriptor) const;
    void runPostedTasks();
    int pollTimeoutMs() const;
    void dispatch(const std::vector<Pistache::Polling::Event> &events);

    const Clock &m_clock;
    Instant m_now;
    Pistache::Polling::Epoll m_poller;
    std::vector<Registration> m_registrations; ///< By descriptor.
    TimerQueue m_timers;
    int m_wakeup;
    std::atomic<bool> m_stopped = false;
    std::mutex m_postedTasksMutex;
    std::vector<std::function<void()>> m_postedTasks;
};

} // namespace monsoonsail
