#pragma once

namespace monsoonsail {

/// A port of the loopback interface that no other test process uses while this object lives. A
/// port is bound only when its daemon has started, so others would find it free until then.
class PortReservation
{
public:
    /// Reserves a free port. Throws std::runtime_error if it can't.
    PortReservation();
    ~PortReservation();
    PortReservation(const PortReservation &) = delete;
    PortReservation &operator=(const PortReservation &) = delete;

    unsigned port() const { return m_port; }

private:
    bool reserve(unsigned port);

    unsigned m_port = 0;
    int m_descriptor = -1;
};

} // namespace monsoonsail
