#pragma once

#include "drivers/traffic/traffic_relay.h"
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

/// Records the events of a TrafficRelay. Each nextX() waits for an event of its kind.
class RecordingTrafficListener : public TrafficListener
{
public:
    void onRequestArrived(const RequestArrival &request) override { push(m_arrivals, request); }
    void onCallerDisconnected(RequestNumber request) override
    {
        push(m_callerDisconnects, request);
    }
    void onStreamsProgressed(std::span<const StreamProgress> streams) override
    {
        for (const StreamProgress &stream : streams)
            push(m_progress, stream);
    }
    void onAttemptEnded(const AttemptEnd &end) override { push(m_ends, end); }
    void onRunMoveEnded(const RunMoveEnd &end) override { push(m_moveEnds, end); }
    void onEndpointChecked(const EndpointCheckEnd &end) override { push(m_checkEnds, end); }
    void onEndpointLimitReported(const EndpointLimitReport &report) override
    {
        push(m_limitReports, report);
    }
    void onEndpointLeaving(const EndpointId &endpoint) override
    {
        push(m_leavingEndpoints, endpoint);
    }
    void onCallersClosed() override { push(m_callersClosed, true); }

    RequestArrival nextArrival() { return waitForNext(m_arrivals); }
    RequestNumber nextCallerDisconnect() { return waitForNext(m_callerDisconnects); }
    AttemptEnd nextAttemptEnd() { return waitForNext(m_ends); }
    RunMoveEnd nextMoveEnd() { return waitForNext(m_moveEnds); }
    EndpointCheckEnd nextCheckEnd() { return waitForNext(m_checkEnds); }
    StreamProgress nextProgress() { return waitForNext(m_progress); }
    /// Whether progress was reported that was not read.
    bool hasProgress()
    {
        const std::lock_guard lock(m_mutex);
        return !m_progress.empty();
    }
    EndpointLimitReport nextLimitReport() { return waitForNext(m_limitReports); }
    EndpointId nextLeavingEndpoint() { return waitForNext(m_leavingEndpoints); }
    /// Waits for onCallersClosed().
    void waitForCallersClosed() { waitForNext(m_callersClosed); }
    /// Whether a limit or the leaving of an endpoint was reported and not yet read.
    bool hasEndpointNotices()
    {
        const std::lock_guard lock(m_mutex);
        return !m_limitReports.empty() || !m_leavingEndpoints.empty();
    }

private:
    template <typename Item>
    void push(std::deque<Item> &items, const Item &item)
    {
        const std::lock_guard lock(m_mutex);
        items.push_back(item);
        m_itemAdded.notify_all();
    }

    template <typename Item>
    Item waitForNext(std::deque<Item> &items)
    {
        std::unique_lock lock(m_mutex);
        if (!m_itemAdded.wait_for(lock, std::chrono::seconds(5),
                                  [&items] { return !items.empty(); }))
            CPPUNIT_FAIL("timeout while waiting for an event of the relay");
        const Item item = items.front();
        items.pop_front();
        return item;
    }

    std::mutex m_mutex;
    std::condition_variable m_itemAdded;
    std::deque<RequestArrival> m_arrivals;
    std::deque<RequestNumber> m_callerDisconnects;
    std::deque<StreamProgress> m_progress;
    std::deque<AttemptEnd> m_ends;
    std::deque<RunMoveEnd> m_moveEnds;
    std::deque<EndpointCheckEnd> m_checkEnds;
    std::deque<EndpointLimitReport> m_limitReports;
    std::deque<EndpointId> m_leavingEndpoints;
    std::deque<bool> m_callersClosed;
};

/// Runs a TrafficRelay on its own thread. The tests act as its callers and endpoints on loopback.
class TrafficRelayFixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        m_thread = std::make_unique<LoopThread>();
        m_thread->runAndWait([this] {
            m_traffic = std::make_unique<TrafficRelay>(m_thread->loop(), m_codec, m_listener,
                                                       maxResponseBytes, m_callerLimits,
                                                       m_callerFaults);
            m_traffic->listen("127.0.0.1:0");
        });
    }

    void tearDown() override
    {
        m_thread->runAndWait([this] { m_traffic.reset(); });
        m_thread.reset();
    }

protected:
    static constexpr std::size_t maxResponseBytes = 32UL * 1024 * 1024;

    /// Tests leave requests of several MB running. Changed before setUp().
    CallerLimits m_callerLimits{.maxRequestBytes = 256UL * 1024 * 1024};
    CallerFaults m_callerFaults;
    PlainCodec m_codec;
    RecordingTrafficListener m_listener;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<TrafficRelay> m_traffic;
    RawListener m_endpoint;
    AttemptNumber m_lastAttempt = 0;

    RawSocket connectCaller(const std::string &request = "GET /a HTTP/1.1\r\nId: r\r\n\r\n")
    {
        RawSocket socket = RawSocket::connectTo(m_traffic->port());
        socket.send(request);
        return socket;
    }

    AttemptNumber startAttempt(RequestNumber request, bool isStream = false,
                               std::optional<EventId> resumeAfter = std::nullopt)
    {
        const AttemptNumber attempt = ++m_lastAttempt;
        m_thread->runAndWait([&] {
            const Instant now = m_thread->loop().now();
            m_traffic->startAttempt({.request = request,
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

    /// Checks how an attempt ended. `what` describes the case.
    static void expectResult(AttemptResult expected, const AttemptEnd &end, const std::string &what)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + end.reason,
                                     std::string(attemptResultName(expected)),
                                     std::string(attemptResultName(end.result)));
    }

    void refuse(RequestNumber request, ErrorKind kind)
    {
        m_thread->runAndWait([&] { m_traffic->refuse({.request = request, .kind = kind}); });
    }

    void deliver(const AttemptEnd &end)
    {
        m_thread->runAndWait([&] { m_traffic->deliverAnswer(end.request, end.attempt); });
    }

    /// Starts an attempt for the next request, sends `response` as the endpoint and returns the end
    /// of the attempt.
    AttemptEnd runAttempt(RawSocket &endpoint, const std::string &response)
    {
        const RequestNumber request = m_listener.nextArrival().number;
        startAttempt(request);
        if (!endpoint.isOpen())
            endpoint = m_endpoint.accept();
        endpoint.receiveUntil("\r\n\r\n");
        endpoint.send(response);
        return m_listener.nextAttemptEnd();
    }
};

} // namespace monsoonsail
