#pragma once

#include "drivers/traffic/traffic.h"
#include "tests/drivers/plain_codec.h"
#include "tests/support/loop_thread.h"
#include "tests/support/raw_socket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace monsoonsail {

/// Collects what the traffic reports, for a test that waits for it.
class Reports : public TrafficListener
{
public:
    void arrived(const RequestArrival &request) override { add(m_arrivals, request); }
    void callerGone(RequestNumber request) override { add(m_gone, request); }
    void progressed(std::span<const StreamProgress> streams) override
    {
        for (const StreamProgress &stream : streams)
            add(m_progress, stream);
    }
    void ended(const AttemptEnd &end) override { add(m_ends, end); }
    void moved(const RunMoveEnd &end) override { add(m_moves, end); }
    void endpointLeaves(const EndpointId &endpoint) override { add(m_leaving, endpoint); }

    RequestArrival arrival() { return take(m_arrivals); }
    RequestNumber gone() { return take(m_gone); }
    AttemptEnd end() { return take(m_ends); }
    RunMoveEnd moveEnd() { return take(m_moves); }
    StreamProgress progress() { return take(m_progress); }
    EndpointId leaving() { return take(m_leaving); }

private:
    template <typename Item>
    void add(std::deque<Item> &items, const Item &item)
    {
        const std::lock_guard lock(m_mutex);
        items.push_back(item);
        m_changed.notify_all();
    }

    template <typename Item>
    Item take(std::deque<Item> &items)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, std::chrono::seconds(5), [&items] { return !items.empty(); }))
            CPPUNIT_FAIL("nothing was reported");
        const Item item = items.front();
        items.pop_front();
        return item;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<RequestArrival> m_arrivals;
    std::deque<RequestNumber> m_gone;
    std::deque<StreamProgress> m_progress;
    std::deque<AttemptEnd> m_ends;
    std::deque<RunMoveEnd> m_moves;
    std::deque<EndpointId> m_leaving;
};

/// Plays callers and endpoints on loopback before a Traffic on a thread of its own.
class TrafficBench : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        m_thread = std::make_unique<LoopThread>();
        m_thread->run([this] {
            m_traffic = std::make_unique<Traffic>(m_thread->loop(), m_codec, m_reports);
            m_traffic->listen("127.0.0.1:0");
        });
    }

    void tearDown() override
    {
        m_thread->run([this] { m_traffic.reset(); });
        m_thread.reset();
    }

protected:
    PlainCodec m_codec;
    Reports m_reports;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<Traffic> m_traffic;
    RawListener m_endpoint;
    AttemptNumber m_lastAttempt = 0;

    RawSocket caller(const std::string &request = "GET /a HTTP/1.1\r\nId: r\r\n\r\n")
    {
        RawSocket socket = RawSocket::connectTo(m_traffic->port());
        socket.send(request);
        return socket;
    }

    AttemptNumber start(RequestNumber request, bool isStream = false,
                        std::optional<EventId> resumeAfter = std::nullopt)
    {
        const AttemptNumber attempt = ++m_lastAttempt;
        m_thread->run([&] {
            const Instant now = m_thread->loop().now();
            m_traffic->start({.request = request,
                              .attempt = attempt,
                              .endpoint = EndpointId("e"),
                              .address = m_endpoint.address(),
                              .resumeAfter = resumeAfter,
                              .isStream = isStream,
                              .connectionUsedAfter = Instant::min(),
                              .connectDeadline = now + std::chrono::seconds(2),
                              .deadline = now + std::chrono::seconds(5)});
        });
        return attempt;
    }

    void deliver(const AttemptEnd &end)
    {
        m_thread->run([&] { m_traffic->deliver(end.request, end.attempt); });
    }

    /// Plays one request up to its end at the endpoint, which sends `answer`.
    AttemptEnd play(RawSocket &endpoint, const std::string &answer)
    {
        const RequestNumber request = m_reports.arrival().number;
        start(request);
        if (!endpoint.isOpen())
            endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(answer);
        return m_reports.end();
    }
};

} // namespace monsoonsail
