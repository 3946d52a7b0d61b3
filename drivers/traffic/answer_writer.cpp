#include "drivers/traffic/answer_writer.h"

#include "core/instant.h"
#include "core/outcome.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace monsoonsail {

namespace {

constexpr std::string_view contentLength = "Content-Length";
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

void appendStatus(int status, std::string_view reason, std::string &output)
{
    output.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason);
    output.append("\r\n");
}

void appendEndpointFields(const ResponseHead &head, bool keepLength, std::string &output)
{
    const std::string_view connection = head.fields.find("Connection").value_or("");
    for (const HeaderField &field : head.fields.all()) {
        if (isHopByHop(field.name, connection))
            continue;
        if (!keepLength && equalFieldNames(field.name, contentLength))
            continue;
        output.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

void appendConnection(bool keep, std::string &output)
{
    if (!keep)
        output.append("Connection: close\r\n");
}

void appendLength(std::size_t length, std::string &output)
{
    output.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

std::string seconds(std::chrono::milliseconds duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return text.data();
}

} // namespace

void appendStreamHead(const ResponseHead &head, bool keep, std::string &output)
{
    appendStatus(head.status, head.reason, output);
    appendEndpointFields(head, false, output);
    output.append("Transfer-Encoding: chunked\r\n");
    appendConnection(keep, output);
    output.append("\r\n");
}

void appendChunk(std::string_view bytes, std::string &output)
{
    constexpr int hexadecimal = 16;
    std::array<char, 20> size{};
    const auto result =
            std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
    output.append(size.data(), result.ptr).append("\r\n").append(bytes).append("\r\n");
}

void appendLastChunk(std::string &output)
{
    output.append("0\r\n\r\n");
}

void appendAnswer(const ResponseHead &head, std::string_view body, bool isHeadRequest, bool keep,
                  std::string &output)
{
    const bool hasNoBody = head.status == statusNoContent || head.status == statusNotModified;
    const bool keepLength = isHeadRequest || hasNoBody;
    appendStatus(head.status, head.reason, output);
    appendEndpointFields(head, keepLength, output);
    if (!keepLength)
        appendLength(body.size(), output);
    appendConnection(keep, output);
    output.append("\r\n").append(body);
}

void appendRefusal(ErrorKind kind, std::optional<std::chrono::milliseconds> retryAfter,
                   std::string_view ownFields, bool keep, std::string &output)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    const nlohmann::ordered_json problem{{"kind", answer.name},
                                         {"title", answer.title},
                                         {"status", answer.status},
                                         {"outcome", outcomeName(answer.outcome)}};
    const std::string body = problem.dump();
    appendStatus(answer.status, answer.name, output);
    output.append(ownFields).append("Content-Type: application/problem+json\r\n");
    if (retryAfter)
        output.append("Retry-After: ").append(seconds(*retryAfter)).append("\r\n");
    appendLength(body.size(), output);
    appendConnection(keep, output);
    output.append("\r\n").append(body);
}

} // namespace monsoonsail
