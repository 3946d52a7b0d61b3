#pragma once

#include "drivers/loop/event_loop.h"
#include "servers/ports/traffic_port.h"

namespace monsoonsail {

/// Forwards the calls of a TrafficPort from the control thread to the traffic thread, by posting
/// them to the event loop of the latter.
class TrafficMailbox : public TrafficPort
{
public:
    /// `loop` belongs to the traffic thread. The references must outlive the mailbox.
    TrafficMailbox(EventLoop &loop, TrafficPort &traffic)
        : m_loop(loop)
        , m_traffic(traffic)
    { }

    void startAttempt(const AttemptStart &attempt) override
    {
        m_loop.post([this, attempt] { m_traffic.startAttempt(attempt); });
    }
    void cancelAttempt(RequestNumber request, AttemptNumber attempt) override
    {
        m_loop.post([this, request, attempt] { m_traffic.cancelAttempt(request, attempt); });
    }
    void moveRun(const RunMove &move) override
    {
        m_loop.post([this, move] { m_traffic.moveRun(move); });
    }
    void endStream(RequestNumber request) override
    {
        m_loop.post([this, request] { m_traffic.endStream(request); });
    }
    void checkEndpoint(const EndpointCheck &check) override
    {
        m_loop.post([this, check] { m_traffic.checkEndpoint(check); });
    }
    void refuse(const Refusal &refusal) override
    {
        m_loop.post([this, refusal] { m_traffic.refuse(refusal); });
    }
    void deliverAnswer(RequestNumber request, AttemptNumber attempt) override
    {
        m_loop.post([this, request, attempt] { m_traffic.deliverAnswer(request, attempt); });
    }
    void abortAnswer(RequestNumber request) override
    {
        m_loop.post([this, request] { m_traffic.abortAnswer(request); });
    }
    void finishRequest(RequestNumber request) override
    {
        m_loop.post([this, request] { m_traffic.finishRequest(request); });
    }
    void closeConnections(const EndpointId &endpoint) override
    {
        m_loop.post([this, endpoint] { m_traffic.closeConnections(endpoint); });
    }
    void applyLimits(const ConnectionLimits &limits) override
    {
        m_loop.post([this, limits] { m_traffic.applyLimits(limits); });
    }
    void beginStop() override
    {
        m_loop.post([this] { m_traffic.beginStop(); });
    }
    void closeCallers() override
    {
        m_loop.post([this] { m_traffic.closeCallers(); });
    }

private:
    EventLoop &m_loop;
    TrafficPort &m_traffic;
};

} // namespace monsoonsail
