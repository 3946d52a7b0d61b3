#pragma once

#include "tests/support/raw_socket.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonsail {

using HttpTestRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpTestAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// HTTP/1.1 over a blocking connection, parsed independently of the product.
class HttpConnection
{
public:
    /// `socket` must outlive the connection.
    explicit HttpConnection(RawSocket &socket)
        : m_socket(socket)
    { }

    /// Waits for a whole request; nothing if the connection ends or `isStopping` says so.
    std::optional<HttpTestRequest> readRequest(const std::function<bool()> &isStopping);
    /// Waits for an answer. It is whole only if `isComplete` is set; nothing without a header.
    std::optional<HttpTestAnswer> readAnswer(std::chrono::milliseconds timeout, bool &isComplete);

    bool answer(int status, std::string_view body,
                const std::vector<std::pair<std::string, std::string>> &fields = {}) const;

private:
    RawSocket &m_socket;
    std::string m_buffered;
};

} // namespace monsoonsail
