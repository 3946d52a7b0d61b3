#pragma once

#include "tests/support/raw_socket.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// What the clients of a crowd send. Each sends `opening`, then `block` again and again until it
/// has sent `bytes` of it, and keeps its connection open.
struct HostileKind
{
    std::string opening;
    std::string block;
    std::size_t bytes = 0;
    unsigned clients = 40;
    /// Sent at once; the next piece follows in the next round.
    std::size_t pieceBytes = 64UL * 1024;
};

/// A crowd of clients on loopback that never read. One that is disconnected connects again a few
/// times and begins anew. All is done on the calling thread, in rounds.
class HostileCrowd
{
public:
    HostileCrowd(unsigned port, const std::vector<HostileKind> &kinds);

    /// Sends until all bytes are sent, nothing is accepted any more or the time is over, and waits
    /// a moment for the daemon to read them. Calls `onRound` after each round.
    void play(const std::function<void()> &onRound);

private:
    struct Client
    {
        std::string opening;
        std::string blocks; ///< The block, repeated to the size of a piece or more.
        std::size_t blockBytes = 1;
        std::size_t totalBytes = 0; ///< With the opening.
        std::size_t pieceBytes = 0;
        std::size_t sentBytes = 0; ///< On the present connection.
        unsigned connectionsLeft = 0;
        RawSocket socket;
    };

    void sendAll(const std::function<void()> &onRound);
    /// Whether the kernel holds bytes that the daemon has not read.
    bool hasUnreadBytes() const;
    void connect(Client &client) const;
    /// Returns whether bytes were sent or a connection was made.
    bool sendPiece(Client &client) const;
    static std::string_view nextPiece(const Client &client);

    const unsigned m_port;
    std::vector<Client> m_clients;
};

} // namespace monsoonsail
