#pragma once

#include "drivers/http/message_head.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// Parses one HTTP/1.1 message incrementally. The body is passed to a sink in pieces. The chunk
/// extensions and the trailers of a request count towards the limit of its header, as does input
/// that can't be parsed yet.
template <bool isRequest>
class MessageReader : private boost::beast::http::basic_parser<isRequest>
{
public:
    using Parser = boost::beast::http::basic_parser<isRequest>;
    using Head = std::conditional_t<isRequest, RequestHead, ResponseHead>;

    /// Receives the body in pieces, without the chunk framing.
    using BodySink = std::function<void(std::string_view)>;

    MessageReader(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    void setBodySink(BodySink sink) { m_bodySink = std::move(sink); }
    /// Expects no body regardless of the header, as in a response to HEAD.
    void expectNoBody() { this->skip(true); }

    /// Parses bytes from the front of `input` and returns the number consumed. Stops at the end of
    /// the message. After an error, nothing more can be read from the connection.
    std::size_t read(std::string_view input, std::error_code &error);
    /// Must be called when the peer has closed the connection without an error. Completes a message
    /// that ends at the close of its connection; any other incomplete message is an error.
    void readEndOfStream(std::error_code &error);

    bool isStarted() const { return this->got_some(); }
    bool isHeadComplete() const { return this->is_header_done(); }
    bool isComplete() const { return !m_failed && this->is_done(); }
    /// Whether the message ends at the close of its connection.
    bool endsAtConnectionClose() const { return this->need_eof(); }
    /// Whether the body comes in chunks.
    bool isChunked() const { return this->chunked(); }
    const Head &head() const { return m_head; }
    Head &head() { return m_head; }
    /// Returns the value of Content-Length, or 0.
    std::uint64_t declaredBodyBytes() const;

private:
    using ErrorCode = boost::beast::error_code;
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, StringView methodText, StringView target,
                         int version, ErrorCode &error) override;
    void on_response_impl(int code, StringView reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field name, StringView nameText, StringView value,
                       ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const &length, ErrorCode &error) override;
    std::size_t on_body_impl(StringView body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, StringView body,
                                   ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;

    /// Whether the header, extensions and trailers, and `unparsedBytes`, exceed their limit.
    bool hasTooMuchFraming(std::size_t unparsedBytes) const;
    /// Counts bytes of extensions or trailers.
    void addFraming(std::size_t bytes, ErrorCode &error);

    const std::uint32_t m_maxHeaderBytes;
    Head m_head;
    BodySink m_bodySink;
    std::size_t m_framingBytes = 0; ///< Of the header, extensions and trailers.
    bool m_isHeadComplete = false;
    bool m_failed = false;
};

using HttpRequestReader = MessageReader<true>;
using HttpResponseReader = MessageReader<false>;

extern template class MessageReader<true>;
extern template class MessageReader<false>;

} // namespace monsoonsail
