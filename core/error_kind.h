#pragma once

#include "core/outcome.h"

#include <span>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// All errors that a caller can receive. Zero means no error.
enum class ErrorKind {
    None = 0,
    MalformedRequest,
    Unauthenticated,
    NotFound,
    RequestTimeout,
    RequestTooLarge,
    HeadersTooLarge,
    ShareExceeded,
    Overloaded,
    NoEndpoint,
    PromptQuarantined,
    VersionUnknown,
    VersionGone,
    Stopping,
    NotReady,
    DeadlineExceeded,
    EndpointFailed,
    AnswerInterrupted,
    Internal,
};

/// The answer that belongs to an error kind.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name; ///< Value of the problem document's "kind" member.
    int status;            ///< HTTP status code.
    Outcome outcome;       ///< Default; the sender may know the actual outcome.
    bool retryable;        ///< Whether a Retry-After header is useful in it.
    std::string_view title;
};

/// Returns the table of all error answers, one row per kind, in the order of the enumeration.
std::span<const ErrorAnswer> errorAnswers();

/// Returns the row of `kind`, or the row of Internal if `kind` is None.
const ErrorAnswer &errorAnswer(ErrorKind kind);

const std::error_category &errorCategory();
std::error_code make_error_code(ErrorKind kind); // NOLINT(readability-identifier-naming)

} // namespace monsoonsail

template <>
struct std::is_error_code_enum<monsoonsail::ErrorKind> : std::true_type
{ };
