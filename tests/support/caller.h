#pragma once

#include "tests/support/http_connection.h"
#include "tests/support/raw_socket.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace monsoonsail {

/// What a caller got for one request.
struct CallResult
{
    bool wasSent = false;    ///< Whether a connection took the whole request.
    int status = 0;          ///< 0 without an answer.
    bool isComplete = false; ///< Whether the answer came to its end.
    bool saysNotRun = false;
    std::string id; ///< The request that the answer names.
    std::string body;
    std::chrono::milliseconds duration{};
};

/// A caller that keeps one connection open for its requests.
class Caller
{
public:
    /// Sends a request with the key "key" and waits for its answer. `timeout` is its
    /// deadline; an answer may come a little later.
    CallResult call(unsigned port, const std::string &path, const std::string &id,
                    std::chrono::milliseconds timeout);
    /// Closes the connection.
    void disconnect() { m_socket.close(); }
    bool isConnected() const { return m_socket.isOpen(); }

    /// Fetches a page without a key.
    static CallResult fetch(unsigned port, const std::string &path);

private:
    CallResult exchange(unsigned port, const std::string &request,
                        std::chrono::milliseconds timeout);

    RawSocket m_socket;
    std::unique_ptr<HttpConnection> m_connection; ///< Refers to the socket.
    unsigned m_port = 0;
};

} // namespace monsoonsail
