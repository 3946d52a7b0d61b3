#include "tests/processes/hostile_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace monsoonsail {

namespace {

using std::chrono::milliseconds;

constexpr unsigned connectionsOfEach = 6;
constexpr milliseconds roundTime{2};
constexpr milliseconds maxTime{8000};
/// The daemon reads no more if it accepts nothing for this time.
constexpr milliseconds maxStall{700};
constexpr milliseconds maxReadTime{2000};
constexpr milliseconds readPollInterval{20};
/// Keeps the kernel from taking much of an answer that is not read.
constexpr int receiveBufferBytes = 4096;

} // namespace

HostileCrowd::HostileCrowd(unsigned port, const std::vector<HostileKind> &kinds)
    : m_port(port)
{
    for (const HostileKind &kind : kinds) {
        std::string blocks;
        while (!kind.block.empty() && blocks.size() < kind.pieceBytes + kind.block.size())
            blocks += kind.block;
        for (unsigned number = 0; number < kind.clients; ++number) {
            Client client{.opening = kind.opening,
                          .blocks = blocks,
                          .blockBytes = std::max<std::size_t>(kind.block.size(), 1),
                          .totalBytes = kind.opening.size() + kind.bytes,
                          .pieceBytes = kind.pieceBytes,
                          .connectionsLeft = connectionsOfEach};
            connect(client);
            m_clients.push_back(std::move(client));
        }
    }
}

void HostileCrowd::connect(Client &client) const
{
    --client.connectionsLeft;
    client.sentBytes = 0;
    RawSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                 sizeof receiveBufferBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(m_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&address), sizeof address)
        != 0)
        socket.close();
    client.socket = std::move(socket);
}

std::string_view HostileCrowd::nextPiece(const Client &client)
{
    std::string_view piece;
    if (client.sentBytes < client.opening.size()) {
        piece = std::string_view(client.opening).substr(client.sentBytes);
    } else {
        const std::size_t offset = (client.sentBytes - client.opening.size()) % client.blockBytes;
        piece = std::string_view(client.blocks).substr(offset);
    }
    return piece.substr(0, std::min(client.pieceBytes, client.totalBytes - client.sentBytes));
}

bool HostileCrowd::sendPiece(Client &client) const
{
    if (!client.socket.isOpen() || client.sentBytes >= client.totalBytes)
        return false;
    const std::string_view piece = nextPiece(client);
    const ssize_t size = ::send(client.socket.descriptor(), piece.data(), piece.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size > 0) {
        client.sentBytes += static_cast<std::size_t>(size);
        return true;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK)
        return false;
    client.socket.close();
    if (client.connectionsLeft == 0)
        return false;
    connect(client);
    return true;
}

void HostileCrowd::play(const std::function<void()> &onRound)
{
    sendAll(onRound);
    const auto deadline = std::chrono::steady_clock::now() + maxReadTime;
    do {
        std::this_thread::sleep_for(readPollInterval);
        onRound();
    } while (hasUnreadBytes() && std::chrono::steady_clock::now() < deadline);
}

// In each line of the kernel's list, the second field is "IP:PORT" of the local side and the fifth
// one "BYTES TO SEND:BYTES TO READ", all in hexadecimal digits.
bool HostileCrowd::hasUnreadBytes() const
{
    constexpr int hexadecimal = 16;
    std::ifstream list("/proc/net/tcp");
    for (std::string line; std::getline(list, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        const std::size_t portAt = local.find(':');
        const std::size_t unreadAt = queues.find(':');
        // The queue of a listening socket (state 0A) has connections in place of bytes.
        if (portAt == std::string::npos || unreadAt == std::string::npos || state == "0A")
            continue;
        if (std::stoul(local.substr(portAt + 1), nullptr, hexadecimal) == m_port
            && std::stoul(queues.substr(unreadAt + 1), nullptr, hexadecimal) > 0)
            return true;
    }
    return false;
}

void HostileCrowd::sendAll(const std::function<void()> &onRound)
{
    const auto deadline = std::chrono::steady_clock::now() + maxTime;
    auto lastProgress = std::chrono::steady_clock::now();
    while (true) {
        bool hasProgress = false;
        bool isSlow = false;
        for (Client &client : m_clients) {
            const bool hasSent = sendPiece(client);
            hasProgress = hasProgress || hasSent;
            isSlow = isSlow || (hasSent && client.pieceBytes == 1);
        }
        onRound();
        const auto now = std::chrono::steady_clock::now();
        if (hasProgress)
            lastProgress = now;
        const bool isFinished = std::ranges::none_of(m_clients, [](const Client &client) {
            return client.socket.isOpen() && client.sentBytes < client.totalBytes;
        });
        if (isFinished || now >= deadline || now >= lastProgress + maxStall)
            return;
        if (!hasProgress || isSlow)
            std::this_thread::sleep_for(roundTime);
    }
}

} // namespace monsoonsail
