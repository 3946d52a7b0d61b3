#pragma once

#include "drivers/loop/descriptor_handler.h"
#include "drivers/loop/event_loop.h"
#include "drivers/net/socket.h"
#include "servers/mesh/bulletin.h"
#include "servers/mesh/digest.h"
#include "servers/ports/bulletin_port.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Receives the messages of other entry instances.
class MeshReceiver
{
public:
    virtual ~MeshReceiver() = default;

    virtual void handleDigest(Digest digest) = 0;
    virtual void handleBulletin(const Bulletin &bulletin) = 0;
};

/// Sends and receives the messages of the mesh as UDP datagrams.
class MeshSocket : public DescriptorHandler, public BulletinPort
{
public:
    /// Throws std::system_error if `address` ("IP:port") can't be bound. The references must
    /// outlive the object.
    MeshSocket(EventLoop &loop, std::string_view address, MeshReceiver &receiver);
    ~MeshSocket() override;
    MeshSocket(const MeshSocket &) = delete;
    MeshSocket &operator=(const MeshSocket &) = delete;

    void send(const Digest &digest, std::span<const std::string> targets);
    void send(const Bulletin &bulletin, std::span<const std::string> targets) override;
    void onReady(DescriptorState state) override;

    /// Bytes of datagrams sent and received since construction.
    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint64_t receivedBytes() const { return m_receivedBytes; }
    /// Number of datagrams that the kernel has dropped because the process did not read them.
    std::uint32_t droppedDatagrams() const { return m_socket.droppedDatagrams(); }
    /// Number of received datagrams that could not be decoded.
    std::uint64_t unreadableDatagrams() const { return m_unreadableDatagrams; }

private:
    void sendDatagrams(std::string_view bytes, std::span<const std::string> targets);
    void handleDatagram(std::string_view bytes);

    EventLoop &m_loop;
    const Socket m_socket;
    MeshReceiver &m_receiver;
    std::vector<char> m_buffer;
    std::size_t m_sendCount = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_unreadableDatagrams = 0;
};

} // namespace monsoonsail
