#pragma once

#include "drivers/loop/event_loop.h"
#include "servers/ports/traffic_port.h"

namespace monsoonsail {

/// Carries the core's calls from the control thread to the traffic thread.
class TrafficMailbox : public TrafficPort
{
public:
    /// `loop` is that of the traffic thread. The references must outlive the mailbox.
    TrafficMailbox(EventLoop &loop, TrafficPort &traffic)
        : m_loop(loop)
        , m_traffic(traffic)
    { }

    void start(const AttemptStart &attempt) override
    {
        m_loop.post([this, attempt] { m_traffic.start(attempt); });
    }
    void cancel(RequestNumber request, AttemptNumber attempt) override
    {
        m_loop.post([this, request, attempt] { m_traffic.cancel(request, attempt); });
    }
    void move(const RunMove &move) override
    {
        m_loop.post([this, move] { m_traffic.move(move); });
    }
    void refuse(const Refusal &refusal) override
    {
        m_loop.post([this, refusal] { m_traffic.refuse(refusal); });
    }
    void deliver(RequestNumber request, AttemptNumber attempt) override
    {
        m_loop.post([this, request, attempt] { m_traffic.deliver(request, attempt); });
    }
    void breakOff(RequestNumber request) override
    {
        m_loop.post([this, request] { m_traffic.breakOff(request); });
    }
    void finish(RequestNumber request) override
    {
        m_loop.post([this, request] { m_traffic.finish(request); });
    }
    void forget(const EndpointId &endpoint) override
    {
        m_loop.post([this, endpoint] { m_traffic.forget(endpoint); });
    }
    void apply(const ConnectionLimits &limits) override
    {
        m_loop.post([this, limits] { m_traffic.apply(limits); });
    }
    void beginStop() override
    {
        m_loop.post([this] { m_traffic.beginStop(); });
    }

private:
    EventLoop &m_loop;
    TrafficPort &m_traffic;
};

} // namespace monsoonsail
