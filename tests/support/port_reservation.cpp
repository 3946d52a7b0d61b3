#include "tests/support/port_reservation.h"

#include "tests/support/raw_socket.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <iterator>
#include <stdexcept>
#include <string>

namespace monsoonsail {

namespace {

/// Below the ports from which the kernel chooses those of outgoing connections: one of those could
/// be taken while a daemon restarts.
constexpr unsigned firstPort = 10'000;
constexpr unsigned portCount = 22'000;
/// Distance between the first ports of two test processes with consecutive ids.
constexpr unsigned portsPerProcess = 400;

bool isFree(unsigned port)
{
    try {
        const RawListener listener(port);
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

} // namespace

PortReservation::PortReservation()
{
    // Several sites may start at the same time.
    static std::atomic<unsigned> next = static_cast<unsigned>(::getpid()) * portsPerProcess;
    unsigned port = 0;
    do {
        port = firstPort + next++ % portCount;
    } while (!reserve(port));
    m_port = port;
}

PortReservation::~PortReservation()
{
    ::close(m_descriptor);
}

bool PortReservation::reserve(unsigned port)
{
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    // With a leading zero byte, the name is not a file and ends with its socket.
    const std::string name = "monsoonsail-test-port-" + std::to_string(port);
    std::ranges::copy(name, std::begin(address.sun_path) + 1);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    m_descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0)
        throw std::runtime_error("cannot reserve a port");
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), size) == 0
        && isFree(port))
        return true;
    ::close(m_descriptor);
    return false;
}

} // namespace monsoonsail
