#pragma once

#include "drivers/http/http_call.h"
#include "drivers/time/clock.h"

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace monsoonsail {

/// A call in progress on a libcurl easy handle.
class HttpTransfer
{
public:
    HttpTransfer(HttpCall call, const Clock &clock);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    CURL *handle() { return m_handle; }
    /// Returns when the call must be ended unless bytes arrive first.
    Instant expiresAt() const;
    /// Calls onDone with the result. `error` replaces the error text of `code` unless it is empty.
    void complete(CURLcode code, const std::string &error);

private:
    static std::size_t onHeaderLine(char *bytes, std::size_t size, std::size_t count,
                                    void *transfer);
    static std::size_t onBody(char *bytes, std::size_t size, std::size_t count, void *transfer);
    static int onPreRequest(void *transfer, char *remoteAddress, char *localAddress, int remotePort,
                            int localPort);
    void configure();
    /// Returns false to end the call.
    bool receiveHeaderLine(std::string_view line);
    bool receiveBody(std::string_view bytes);
    std::string responseField() const;
    /// Whether the response has neither a length nor chunks.
    bool endsAtConnectionClose() const;
    bool isRequestWritten() const;
    HttpResult makeResult(CURLcode code, const std::string &error) const;

    HttpCall m_call;
    const Clock &m_clock;
    CURL *m_handle;
    curl_slist *m_headers = nullptr;
    std::string m_body;
    Instant m_progressDeadline;
    std::size_t m_headBytes = 0; ///< Of the response, with interim ones and trailers.
    bool m_abortedBeforeSending = false;
    bool m_hasInvalidStatus = false;
    bool m_isHeadComplete = false; ///< Whether the blank line after the response's head arrived.
};

} // namespace monsoonsail
