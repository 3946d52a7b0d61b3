#include "drivers/mesh/mesh_socket.h"

#include "drivers/mesh/bulletin_codec.h"
#include "drivers/mesh/digest_codec.h"
#include "drivers/net/socket_address.h"

#include <sys/socket.h>

#include <utility>

namespace monsoonsail {

namespace {
constexpr std::size_t maxDatagramBytes = 65'507;
/// Limits the datagrams read at each wakeup, so that they don't delay requests.
constexpr int maxDatagramsPerWakeup = 64;
/// Distance in the list of targets between the first targets of consecutive messages.
constexpr std::size_t targetStride = 7;
} // namespace

MeshSocket::MeshSocket(EventLoop &loop, std::string_view address, MeshReceiver &receiver)
    : m_loop(loop)
    , m_socket(Socket::datagram(address))
    , m_receiver(receiver)
    , m_buffer(maxDatagramBytes)
{
    m_loop.add(m_socket.descriptor(), *this, EventLoop::Interest::Read);
}

MeshSocket::~MeshSocket()
{
    m_loop.remove(m_socket.descriptor());
}

void MeshSocket::send(const Digest &digest, std::span<const std::string> targets)
{
    if (!targets.empty())
        sendDatagrams(encodeDigest(digest), targets);
}

void MeshSocket::send(const Bulletin &bulletin, std::span<const std::string> targets)
{
    if (!targets.empty())
        sendDatagrams(encodeBulletin(bulletin), targets);
}

void MeshSocket::sendDatagrams(std::string_view bytes, std::span<const std::string> targets)
{
    // Rotates the order of targets, so that datagrams dropped for lack of buffer space or bandwidth
    // aren't always those to the same targets.
    const std::size_t first = ++m_sendCount * targetStride % targets.size();
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto address = parseSocketAddress(targets[(first + index) % targets.size()]);
        if (!address)
            continue;
        // A failed send is treated like a lost datagram: the next one repeats its content.
        const ssize_t size = ::sendto(
                m_socket.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                reinterpret_cast<const sockaddr *>(&*address), sizeof *address);
        if (size > 0)
            m_sentBytes += static_cast<std::uint64_t>(size);
    }
}

void MeshSocket::onReady(DescriptorState /*state*/)
{
    for (int count = 0; count < maxDatagramsPerWakeup; ++count) {
        std::error_code error;
        const std::size_t size = m_socket.receive(m_buffer, error);
        if (error)
            return;
        m_receivedBytes += size;
        handleDatagram({m_buffer.data(), size});
    }
}

void MeshSocket::handleDatagram(std::string_view bytes)
{
    if (auto digest = decodeDigest(bytes))
        m_receiver.handleDigest(*std::move(digest));
    else if (const auto bulletin = decodeBulletin(bytes))
        m_receiver.handleBulletin(*bulletin);
    else
        ++m_unreadableDatagrams;
}

} // namespace monsoonsail
