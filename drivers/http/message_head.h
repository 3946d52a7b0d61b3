#pragma once

#include "drivers/http/header_fields.h"

#include <string>

namespace monsoonsail {

/// Whether the number is a status of HTTP: 1xx to 5xx.
constexpr bool isHttpStatus(int number)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return number >= first && number <= last;
}

/// Responses with a lower status are interim: the final one follows them.
inline constexpr int minFinalStatus = 200;

/// Request line and header of an HTTP request.
struct RequestHead
{
    std::string method; ///< As received.
    std::string target; ///< Path and query, as received.
    HeaderFields fields;
    bool keepAlive = false; ///< Whether another request may follow on the connection.
};

/// Status line and header of an HTTP response.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    HeaderFields fields;
    bool keepAlive = false; ///< Whether another request may follow on the connection.
};

} // namespace monsoonsail
