#include "drivers/http/http_transfer.h"

#include "drivers/http/message_head.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {
constexpr long connectTimeoutMs = 2'000;
constexpr int statusOk = 200;
/// libcurl keeps all lines of a head, however many there are.
constexpr std::size_t maxHeadBytes = 64UL * 1024;
} // namespace

HttpTransfer::HttpTransfer(HttpCall call, const Clock &clock)
    : m_call(std::move(call))
    , m_clock(clock)
    , m_handle(curl_easy_init())
    , m_progressDeadline(clock.now() + m_call.progressTimeout)
{
    configure();
}

HttpTransfer::~HttpTransfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
}

Instant HttpTransfer::expiresAt() const
{
    if (m_call.progressTimeout == Duration::zero())
        return m_call.deadline;
    return std::min(m_call.deadline, m_progressDeadline);
}

void HttpTransfer::complete(CURLcode code, const std::string &error)
{
    m_call.onDone(makeResult(code, error));
}

void HttpTransfer::configure()
{
    for (const std::string &header : m_call.headers)
        m_headers = curl_slist_append(m_headers, header.c_str());
    // Without this, libcurl waits for "100 Continue" before it sends a large body.
    m_headers = curl_slist_append(m_headers, "Expect:");
    curl_easy_setopt(m_handle, CURLOPT_URL, m_call.url.c_str());
    // Without this, libcurl removes "." and ".." segments; the path is sent as the call has it.
    curl_easy_setopt(m_handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
    if (!m_call.body.empty() || m_call.method == "POST") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.body.c_str());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_call.body.size()));
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(m_handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, m_call.freshConnection ? 1L : 0L);
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, m_call.freshConnection ? 1L : 0L);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeaderLine);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &HttpTransfer::onPreRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
}

std::size_t HttpTransfer::onHeaderLine(char *bytes, std::size_t size, std::size_t count,
                                       void *transfer)
{
    const std::size_t length = size * count;
    const bool isAccepted =
            static_cast<HttpTransfer *>(transfer)->receiveHeaderLine({bytes, length});
    return isAccepted ? length : 0;
}

std::size_t HttpTransfer::onBody(char *bytes, std::size_t size, std::size_t count, void *transfer)
{
    const std::size_t length = size * count;
    const bool isAccepted = static_cast<HttpTransfer *>(transfer)->receiveBody({bytes, length});
    return isAccepted ? length : 0;
}

// libcurl calls this when the connection is established, immediately before the first byte is sent.
// A process that was paused while connecting must not send a request after its deadline.
int HttpTransfer::onPreRequest(void *transfer, char * /*remoteAddress*/, char * /*localAddress*/,
                               int /*remotePort*/, int /*localPort*/)
{
    auto *self = static_cast<HttpTransfer *>(transfer);
    if (self->m_clock.now() < self->m_call.sendDeadline)
        return CURL_PREREQFUNC_OK;
    self->m_abortedBeforeSending = true;
    return CURL_PREREQFUNC_ABORT;
}

bool HttpTransfer::receiveHeaderLine(std::string_view line)
{
    m_headBytes += line.size();
    if (m_headBytes > maxHeadBytes)
        return false;
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    // libcurl accepts any three digits.
    m_hasInvalidStatus = !isHttpStatus(static_cast<int>(status));
    if (m_hasInvalidStatus)
        return false;
    // The heads of interim responses end with a blank line as well.
    if (status >= minFinalStatus && (line == "\r\n" || line == "\n"))
        m_isHeadComplete = true;
    return true;
}

bool HttpTransfer::receiveBody(std::string_view bytes)
{
    m_progressDeadline = m_clock.now() + m_call.progressTimeout;
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    if (m_call.onData && status == statusOk)
        return m_call.onData(bytes);
    if (m_body.size() + bytes.size() > m_call.maxResponseBytes)
        return false;
    m_body.append(bytes);
    return true;
}

std::string HttpTransfer::responseField() const
{
    curl_header *field = nullptr;
    constexpr int lastRequest = -1;
    if (m_call.responseField.empty()
        || curl_easy_header(m_handle, m_call.responseField.c_str(), 0, CURLH_HEADER, lastRequest,
                            &field)
                != CURLHE_OK)
        return {};
    return field->value;
}

bool HttpTransfer::endsAtConnectionClose() const
{
    constexpr curl_off_t unknown = -1;
    constexpr int lastRequest = -1;
    curl_off_t length = unknown;
    curl_easy_getinfo(m_handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    curl_header *coding = nullptr;
    return length == unknown
            && curl_easy_header(m_handle, "Transfer-Encoding", 0, CURLH_HEADER, lastRequest,
                                &coding)
            != CURLHE_OK;
}

bool HttpTransfer::isRequestWritten() const
{
    curl_off_t bodyBytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &bodyBytes);
    return static_cast<std::size_t>(bodyBytes) >= m_call.body.size();
}

HttpResult HttpTransfer::makeResult(CURLcode code, const std::string &error) const
{
    HttpResult result;
    long requestBytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (m_hasInvalidStatus) {
        result.error = "the response has a number that is no status";
        return result;
    }
    // libcurl also reports success if the connection is closed after the status line.
    if (code == CURLE_OK && error.empty() && !m_isHeadComplete) {
        result.error = "the response ended inside its head";
        return result;
    }
    // libcurl also reports success if a response without a length ends while the request is sent.
    if (code == CURLE_OK && error.empty() && endsAtConnectionClose() && !isRequestWritten()) {
        result.error = "the response ended before the request was sent";
        return result;
    }
    if (code == CURLE_OK && error.empty()) {
        long status = 0;
        char *contentType = nullptr;
        curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(m_handle, CURLINFO_CONTENT_TYPE, &contentType);
        result.kind = HttpResult::Kind::Answered;
        result.status = static_cast<int>(status);
        result.contentType = contentType == nullptr ? "" : contentType;
        result.field = responseField();
        result.body = m_body;
        return result;
    }
    result.kind = requestBytes == 0 || m_abortedBeforeSending ? HttpResult::Kind::NotSent
                                                              : HttpResult::Kind::Interrupted;
    result.error = error.empty() ? curl_easy_strerror(code) : error;
    return result;
}

} // namespace monsoonsail
