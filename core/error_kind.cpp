#include "core/error_kind.h"

#include <algorithm>
#include <array>
#include <string>

namespace monsoonsail {

namespace {

constexpr std::array answers{
        ErrorAnswer{ErrorKind::MalformedRequest, "malformed-request", 400, Outcome::NotRun, false,
                    "The request could not be parsed."},
        ErrorAnswer{ErrorKind::Unauthenticated, "unauthenticated", 401, Outcome::NotRun, false,
                    "No client account has this key."},
        ErrorAnswer{ErrorKind::NotFound, "not-found", 404, Outcome::NotRun, false,
                    "No such model, service, path or response."},
        ErrorAnswer{ErrorKind::RequestTimeout, "request-timeout", 408, Outcome::NotRun, false,
                    "The request did not arrive in time."},
        ErrorAnswer{ErrorKind::RequestTooLarge, "request-too-large", 413, Outcome::NotRun, false,
                    "The body is over the limit."},
        ErrorAnswer{ErrorKind::HeadersTooLarge, "headers-too-large", 431, Outcome::NotRun, false,
                    "The headers are over the limit."},
        ErrorAnswer{ErrorKind::ShareExceeded, "share-exceeded", 429, Outcome::NotRun, true,
                    "The client account has used its share."},
        ErrorAnswer{ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, true,
                    "The request would miss its deadline."},
        ErrorAnswer{ErrorKind::NoEndpoint, "no-endpoint", 503, Outcome::NotRun, true,
                    "No endpoint can take the request."},
        ErrorAnswer{ErrorKind::PromptQuarantined, "prompt-quarantined", 503, Outcome::NotRun, true,
                    "Endpoints crash under a part of the prompt."},
        ErrorAnswer{ErrorKind::VersionUnknown, "version-unknown", 503, Outcome::NotRun, true,
                    "The software version that began the stream is not known."},
        ErrorAnswer{ErrorKind::VersionGone, "version-gone", 503, Outcome::NotRun, true,
                    "No endpoint has the software version that began the stream."},
        ErrorAnswer{ErrorKind::Stopping, "stopping", 503, Outcome::NotRun, true,
                    "The entry instance is stopping."},
        ErrorAnswer{ErrorKind::NotReady, "not-ready", 503, Outcome::NotRun, true,
                    "The entry instance has no configuration yet."},
        ErrorAnswer{ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Outcome::Unknown, true,
                    "The request missed its deadline."},
        ErrorAnswer{ErrorKind::EndpointFailed, "endpoint-failed", 502, Outcome::Unknown, false,
                    "The endpoint failed after the request was sent."},
        ErrorAnswer{ErrorKind::AnswerInterrupted, "answer-interrupted", 502, Outcome::Unknown,
                    false, "The answer was interrupted and could not be resumed."},
        ErrorAnswer{ErrorKind::Internal, "internal", 500, Outcome::Unknown, false,
                    "Internal error."},
};

class ErrorCategory : public std::error_category
{
public:
    const char *name() const noexcept override { return "monsoonsail"; }

    std::string message(int value) const override
    {
        if (value == 0)
            return "no error";
        return std::string(errorAnswer(static_cast<ErrorKind>(value)).title);
    }
};

} // namespace

std::span<const ErrorAnswer> errorAnswers()
{
    return answers;
}

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    const auto *row =
            std::find_if(answers.begin(), answers.end(),
                         [kind](const ErrorAnswer &answer) { return answer.kind == kind; });
    return row == answers.end() ? answers.back() : *row;
}

const std::error_category &errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorKind kind) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(kind), errorCategory()};
}

} // namespace monsoonsail
