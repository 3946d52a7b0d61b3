#include "drivers/traffic/response_writer.h"

#include "core/instant.h"
#include "core/json_text.h"
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

void appendForwardedFields(const ResponseHead &head, bool keepContentLength, std::string &output)
{
    const std::string_view connection = head.fields.find("Connection").value_or("");
    for (const HeaderField &field : head.fields.all()) {
        if (isHopByHop(field.name, connection))
            continue;
        if (!keepContentLength && equalFieldNames(field.name, contentLength))
            continue;
        output.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

void appendConnectionField(bool keepAlive, std::string &output)
{
    if (!keepAlive)
        output.append("Connection: close\r\n");
}

void appendContentLength(std::size_t length, std::string &output)
{
    output.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

std::string formatSeconds(std::chrono::milliseconds duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return text.data();
}

} // namespace

void appendStreamHead(const ResponseHead &head, bool keepAlive, std::string &output)
{
    appendStatus(head.status, head.reason, output);
    appendForwardedFields(head, false, output);
    output.append("Transfer-Encoding: chunked\r\n");
    appendConnectionField(keepAlive, output);
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

void appendResponse(const ResponseHead &head, std::string_view body, bool isHeadRequest,
                    bool keepAlive, std::string &output)
{
    const bool hasNoBody = head.status == statusNoContent || head.status == statusNotModified;
    const bool keepContentLength = isHeadRequest || hasNoBody;
    appendStatus(head.status, head.reason, output);
    appendForwardedFields(head, keepContentLength, output);
    if (!keepContentLength)
        appendContentLength(body.size(), output);
    appendConnectionField(keepAlive, output);
    output.append("\r\n");
    if (!keepContentLength)
        output.append(body);
}

void appendErrorResponse(ErrorKind kind, std::optional<std::chrono::milliseconds> retryAfter,
                         std::string_view extraFields, bool isHeadRequest, bool keepAlive,
                         std::string &output)
{
    const ErrorAnswer &error = errorAnswer(kind);
    const nlohmann::ordered_json problem{{"kind", error.name},
                                         {"title", error.title},
                                         {"status", error.status},
                                         {"outcome", outcomeName(error.outcome)}};
    const std::string body = toJsonText(problem);
    appendStatus(error.status, error.name, output);
    output.append(extraFields).append("Content-Type: application/problem+json\r\n");
    if (retryAfter)
        output.append("Retry-After: ").append(formatSeconds(*retryAfter)).append("\r\n");
    appendContentLength(body.size(), output);
    appendConnectionField(keepAlive, output);
    output.append("\r\n");
    if (!isHeadRequest)
        output.append(body);
}

} // namespace monsoonsail
