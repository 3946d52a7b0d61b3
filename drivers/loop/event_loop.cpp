#include "drivers/loop/event_loop.h"

#include <glog/logging.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace monsoonsail {

namespace {

using Pistache::Flags;
using Pistache::Polling::NotifyOn;

constexpr int maxPollTimeoutMs = 1000;
constexpr unsigned generationShift = 32;

Flags<NotifyOn> pollFlags(EventLoop::Interest interest)
{
    Flags<NotifyOn> flags(NotifyOn::Shutdown);
    const bool isWriting =
            interest == EventLoop::Interest::Write || interest == EventLoop::Interest::ReadWrite;
    if (interest == EventLoop::Interest::Read || interest == EventLoop::Interest::ReadWrite)
        flags.setFlag(NotifyOn::Read);
    if (isWriting)
        flags.setFlag(NotifyOn::Write);
    return flags;
}

} // namespace

EventLoop::EventLoop(const Clock &clock)
    : m_clock(clock)
    , m_now(clock.now())
    , m_wakeup(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_wakeup < 0)
        throw std::system_error(errno, std::system_category(), "cannot create the wakeup event");
    m_poller.addFd(m_wakeup, Flags<NotifyOn>(NotifyOn::Read), pollTag(m_wakeup));
}

EventLoop::~EventLoop()
{
    ::close(m_wakeup);
}

void EventLoop::run()
{
    std::vector<Pistache::Polling::Event> events;
    while (!m_stopped) {
        events.clear();
        m_poller.poll(events, std::chrono::milliseconds(pollTimeoutMs()));
        m_now = m_clock.now();
        dispatch(events);
        runPostedTasks();
        m_timers.runDue(m_now);
    }
}

void EventLoop::stop()
{
    m_stopped = true;
    post([] {});
}

void EventLoop::post(std::function<void()> task)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_postedTasksMutex);
        wasEmpty = m_postedTasks.empty();
        m_postedTasks.push_back(std::move(task));
    }
    if (!wasEmpty)
        return;
    // The write fails only if the counter of the eventfd is full, and then the loop wakes up
    // anyway.
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeup, &one, sizeof one);
}

void EventLoop::add(int descriptor, DescriptorHandler &handler, Interest interest)
{
    const auto index = static_cast<std::size_t>(descriptor);
    if (m_registrations.size() <= index)
        m_registrations.resize(index + 1);
    m_registrations[index].handler = &handler;
    ++m_registrations[index].generation;
    m_poller.addFd(descriptor, pollFlags(interest), pollTag(descriptor));
}

void EventLoop::change(int descriptor, Interest interest)
{
    m_poller.rearmFd(descriptor, pollFlags(interest), pollTag(descriptor));
}

void EventLoop::remove(int descriptor)
{
    m_registrations[static_cast<std::size_t>(descriptor)].handler = nullptr;
    try {
        m_poller.removeFd(descriptor);
    } catch (const std::runtime_error &error) {
        // libcurl asks for the removal of some sockets after it has closed them. The kernel removes
        // a closed descriptor from epoll, so the error can be ignored.
        DLOG(INFO) << "descriptor " << descriptor << " was not registered: " << error.what();
    }
}

Pistache::Polling::Tag EventLoop::pollTag(int descriptor) const
{
    const auto index = static_cast<std::size_t>(descriptor);
    const std::uint64_t generation =
            index < m_registrations.size() ? m_registrations[index].generation : std::uint64_t{0};
    return Pistache::Polling::Tag(generation << generationShift | index);
}

void EventLoop::runPostedTasks()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(m_postedTasksMutex);
        tasks.swap(m_postedTasks);
    }
    for (const std::function<void()> &task : tasks)
        task();
}

int EventLoop::pollTimeoutMs() const
{
    const auto deadline = m_timers.nextDeadline();
    if (!deadline)
        return maxPollTimeoutMs;
    const Duration left = *deadline - m_clock.now();
    if (left <= Duration::zero())
        return 0;
    // Rounded up: with a timeout that ends before the deadline the loop would spin until then.
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::min<std::int64_t>(ms, maxPollTimeoutMs));
}

void EventLoop::dispatch(const std::vector<Pistache::Polling::Event> &events)
{
    for (const Pistache::Polling::Event &event : events) {
        const auto descriptor = static_cast<int>(event.tag.value() & UINT32_MAX);
        if (descriptor == m_wakeup) {
            std::uint64_t count = 0;
            [[maybe_unused]] const ssize_t size = ::read(m_wakeup, &count, sizeof count);
            continue;
        }
        const Registration registration = m_registrations[static_cast<std::size_t>(descriptor)];
        // A handler called earlier in this iteration may have closed the descriptor, and a new one
        // may have the same number.
        if (registration.handler == nullptr
            || registration.generation != event.tag.value() >> generationShift)
            continue;
        const bool readable = event.flags.hasFlag(NotifyOn::Read);
        const bool writable = event.flags.hasFlag(NotifyOn::Write);
        // Pistache doesn't pass on EPOLLERR, so an event without flags is an error.
        registration.handler->onReady({.readable = readable,
                                       .writable = writable,
                                       .hangup = event.flags.hasFlag(NotifyOn::Hangup)
                                               || event.flags.hasFlag(NotifyOn::Shutdown)
                                               || (!readable && !writable)});
    }
}

} // namespace monsoonsail
