#pragma once

#include "core/error_kind.h"
#include "drivers/http/message_head.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Appends the head of a streamed response for the caller: chunked, without the hop-by-hop fields
/// of the endpoint's connection.
void appendStreamHead(const ResponseHead &head, bool keepAlive, std::string &output);
/// Appends one chunk. `bytes` must not be empty, since an empty chunk ends the body.
void appendChunk(std::string_view bytes, std::string &output);
/// Appends the chunk that ends a chunked body.
void appendLastChunk(std::string &output);
/// Appends a complete response without the hop-by-hop fields of `head`. Responses to HEAD and those
/// with status 204 or 304 keep their Content-Length and get no body; others get the length of
/// `body`.
void appendResponse(const ResponseHead &head, std::string_view body, bool isHeadRequest,
                    bool keepAlive, std::string &output);
/// Appends an error response of this instance as a problem document (RFC 9457), which a response to
/// HEAD only has the length of. `extraFields` are complete header lines.
void appendErrorResponse(ErrorKind kind, std::optional<std::chrono::milliseconds> retryAfter,
                         std::string_view extraFields, bool isHeadRequest, bool keepAlive,
                         std::string &output);

} // namespace monsoonsail
