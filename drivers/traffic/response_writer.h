#pragma once

#include "core/error_kind.h"
#include "drivers/http/message_head.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Appends the head of an endpoint's stream as it goes to the caller: chunked, without the fields
/// of the endpoint's connection.
void appendStreamHead(const ResponseHead &head, bool keepAlive, std::string &output);
/// Appends one chunk. `bytes` must not be empty.
void appendChunk(std::string_view bytes, std::string &output);
/// Appends the end of a chunked answer.
void appendLastChunk(std::string &output);
/// Appends an endpoint's whole answer. An answer to HEAD keeps the length that it announces.
void appendResponse(const ResponseHead &head, std::string_view body, bool isHeadRequest,
                    bool keepAlive, std::string &output);
/// Appends an answer of our own as a problem document (RFC 9457). `extraFields` are header lines.
void appendErrorResponse(ErrorKind kind, std::optional<std::chrono::milliseconds> retryAfter,
                         std::string_view extraFields, bool keepAlive, std::string &output);

} // namespace monsoonsail
