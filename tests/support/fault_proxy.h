#pragma once

#include "tests/support/threaded_server.h"

#include <atomic>
#include <chrono>

namespace monsoonsail {

/// Passes bytes between its callers and a port of this machine, and injects faults into them.
class FaultProxy
{
public:
    enum class Fault {
        None,
        Delay,       ///< Everything comes `delay` later.
        Silence,     ///< Connections stay open, and nothing comes through.
        DropAnswers, ///< Requests come through, answers do not.
        Reset,       ///< Connections are reset, new ones too.
    };

    explicit FaultProxy(unsigned targetPort);
    ~FaultProxy() { stop(); }

    void setFault(Fault fault) { m_fault = fault; }
    void stop() { m_server.stop(); }
    std::string address() const { return m_server.address(); }

private:
    static constexpr std::chrono::milliseconds delay{150};

    void serve(RawSocket &caller) const;

    const unsigned m_targetPort;
    std::atomic<Fault> m_fault = Fault::None;
    ThreadedServer m_server;
};

} // namespace monsoonsail
