#include "drivers/http/message_reader.h"

#include <boost/beast/http/error.hpp>

namespace monsoonsail {

namespace {

constexpr std::string_view transferEncoding = "Transfer-Encoding";
/// Longest chunk size without an extension, with the line ends before and after it.
constexpr std::size_t maxChunkSizeBytes = 20;
/// Of a header line, beside its name and value.
constexpr std::size_t fieldSeparatorBytes = 4;

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool needsMoreInput(const boost::beast::error_code &error)
{
    return error == boost::beast::http::error::need_more;
}

} // namespace

template <bool isRequest>
MessageReader<isRequest>::MessageReader(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
    : m_maxHeaderBytes(maxHeaderBytes)
{
    this->eager(true);
    this->header_limit(maxHeaderBytes);
    this->body_limit(maxBodyBytes);
}

template <bool isRequest>
std::size_t MessageReader<isRequest>::read(std::string_view input, std::error_code &error)
{
    error.clear();
    std::size_t used = 0;
    while (!this->is_done() && used < input.size()) {
        ErrorCode parserError;
        const std::size_t count = this->put(
                boost::asio::const_buffer(input.data() + used, input.size() - used), parserError);
        used += count;
        if (needsMoreInput(parserError)) {
            // Beast waits for the end of a chunk header or of all trailers, however long they are.
            if (!isRequest || !hasTooMuchFraming(input.size() - used))
                break;
            parserError = boost::beast::http::error::header_limit;
        }
        if (parserError) {
            m_failed = true;
            error = parserError;
            break;
        }
    }
    return used;
}

template <bool isRequest>
void MessageReader<isRequest>::readEndOfStream(std::error_code &error)
{
    error.clear();
    if (this->is_done())
        return;
    if (!this->is_header_done()) {
        error = std::make_error_code(std::errc::connection_aborted);
        return;
    }
    ErrorCode parserError;
    this->put_eof(parserError);
    if (parserError) {
        m_failed = true;
        error = parserError;
    }
}

template <bool isRequest>
bool MessageReader<isRequest>::hasTooMuchFraming(std::size_t unparsedBytes) const
{
    return m_isHeadComplete
            && m_framingBytes + unparsedBytes > m_maxHeaderBytes + maxChunkSizeBytes;
}

template <bool isRequest>
void MessageReader<isRequest>::addFraming(std::size_t bytes, ErrorCode &error)
{
    m_framingBytes += bytes;
    if (isRequest && hasTooMuchFraming(0))
        error = boost::beast::http::error::header_limit;
}

template <bool isRequest>
std::uint64_t MessageReader<isRequest>::declaredBodyBytes() const
{
    const auto length = this->content_length();
    return length ? *length : 0;
}

template <bool isRequest>
void MessageReader<isRequest>::on_request_impl(boost::beast::http::verb /*method*/,
                                               StringView methodText, StringView target,
                                               int /*version*/, ErrorCode & /*error*/)
{
    if constexpr (isRequest) {
        m_head.method = toStringView(methodText);
        m_head.target = toStringView(target);
        m_framingBytes += m_head.method.size() + m_head.target.size();
    }
}

template <bool isRequest>
void MessageReader<isRequest>::on_response_impl(int code, StringView reason, int /*version*/,
                                                ErrorCode &error)
{
    if constexpr (!isRequest) {
        // Beast accepts any three digits.
        if (!isHttpStatus(code)) {
            error = boost::beast::http::error::bad_status;
            return;
        }
        m_head.status = code;
        m_head.reason = toStringView(reason);
    }
}

template <bool isRequest>
void MessageReader<isRequest>::on_field_impl(boost::beast::http::field /*name*/,
                                             StringView nameText, StringView value,
                                             ErrorCode &error)
{
    addFraming(nameText.size() + value.size() + fieldSeparatorBytes, error);
    // Beast also reports the trailers of a chunked body as fields. They are dropped, so that
    // unchecked fields are not added to the header.
    if (!m_isHeadComplete)
        m_head.fields.add(toStringView(nameText), toStringView(value));
}

template <bool isRequest>
void MessageReader<isRequest>::on_header_impl(ErrorCode &error)
{
    m_isHeadComplete = true;
    m_head.keepAlive = this->keep_alive();
    // Beast treats a message with an unknown transfer coding as one without a body and would parse
    // its body as the next message.
    const bool hasTransferCoding = m_head.fields.count(transferEncoding) > 0;
    const bool isChunked = m_head.fields.count(transferEncoding) == 1
            && equalFieldNames(*m_head.fields.find(transferEncoding), "chunked");
    if (hasTransferCoding && !isChunked)
        error = boost::beast::http::error::bad_transfer_encoding;
}

template <bool isRequest>
void MessageReader<isRequest>::on_body_init_impl(boost::optional<std::uint64_t> const & /*length*/,
                                                 ErrorCode & /*error*/)
{ }

template <bool isRequest>
std::size_t MessageReader<isRequest>::on_body_impl(StringView body, ErrorCode & /*error*/)
{
    if (m_bodySink)
        m_bodySink(toStringView(body));
    return body.size();
}

template <bool isRequest>
void MessageReader<isRequest>::on_chunk_header_impl(std::uint64_t /*size*/, StringView extensions,
                                                    ErrorCode &error)
{
    addFraming(extensions.size(), error);
}

template <bool isRequest>
std::size_t MessageReader<isRequest>::on_chunk_body_impl(std::uint64_t /*remain*/, StringView body,
                                                         ErrorCode & /*error*/)
{
    if (m_bodySink)
        m_bodySink(toStringView(body));
    return body.size();
}

template <bool isRequest>
void MessageReader<isRequest>::on_finish_impl(ErrorCode & /*error*/)
{ }

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace monsoonsail
