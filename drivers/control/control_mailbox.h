#pragma once

#include "drivers/loop/event_loop.h"
#include "servers/ports/traffic_listener.h"

#include <functional>
#include <span>
#include <vector>

namespace monsoonsail {

/// Forwards the calls of a TrafficListener from the traffic thread to the control thread, by
/// posting them to the event loop of the latter.
class ControlMailbox : public TrafficListener
{
public:
    /// `loop` belongs to the control thread. The references must outlive the mailbox.
    ControlMailbox(EventLoop &loop, TrafficListener &listener)
        : m_loop(loop)
        , m_listener(listener)
    { }

    void onRequestArrived(const RequestArrival &request) override
    {
        m_loop.post([this, request] { m_listener.onRequestArrived(request); });
    }
    void onCallerDisconnected(RequestNumber request) override
    {
        m_loop.post([this, request] { m_listener.onCallerDisconnected(request); });
    }
    void onStreamsProgressed(std::span<const StreamProgress> streams) override
    {
        m_loop.post([this, copy = std::vector<StreamProgress>(streams.begin(), streams.end())] {
            m_listener.onStreamsProgressed(copy);
        });
    }
    void onAttemptEnded(const AttemptEnd &end) override
    {
        m_loop.post([this, end] { m_listener.onAttemptEnded(end); });
    }
    void onRunMoveEnded(const RunMoveEnd &end) override
    {
        m_loop.post([this, end] { m_listener.onRunMoveEnded(end); });
    }
    void onEndpointChecked(const EndpointCheckEnd &end) override
    {
        m_loop.post([this, end] { m_listener.onEndpointChecked(end); });
    }
    void onEndpointLimitReported(const EndpointLimitReport &report) override
    {
        m_loop.post([this, report] { m_listener.onEndpointLimitReported(report); });
    }
    void onEndpointLeaving(const EndpointId &endpoint) override
    {
        m_loop.post([this, endpoint] { m_listener.onEndpointLeaving(endpoint); });
    }
    void onCallersClosed() override
    {
        m_loop.post([this] { m_listener.onCallersClosed(); });
    }

private:
    EventLoop &m_loop;
    TrafficListener &m_listener;
};

} // namespace monsoonsail
