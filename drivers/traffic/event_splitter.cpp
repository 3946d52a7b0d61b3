#include "drivers/traffic/event_splitter.h"

#include <charconv>

namespace monsoonsail {

namespace {

constexpr std::string_view lineEnds = "\r\n";

/// Returns the length of the first block with its blank line, or npos if it is incomplete. `begin`
/// is the offset of its first line.
std::size_t blockLength(std::string_view text, std::size_t begin)
{
    bool endsWithCrLf = false;
    while (true) {
        const std::size_t end = text.find_first_of(lineEnds, begin);
        if (end == std::string_view::npos)
            return end;
        const bool isBlank = end == begin;
        const bool isCr = text[end] == '\r';
        const bool isLast = end + 1 == text.size();
        // The line feed may not have arrived yet. It is waited for if the lines before had one.
        if (isCr && isLast && (!isBlank || endsWithCrLf))
            return std::string_view::npos;
        endsWithCrLf = isCr && !isLast && text[end + 1] == '\n';
        begin = end + (endsWithCrLf ? 2 : 1);
        if (isBlank)
            return begin;
    }
}

/// Removes the first line from `text` and returns it without its end.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = text.find_first_of(lineEnds);
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(line.size());
    if (!text.empty())
        text.remove_prefix(text.starts_with("\r\n") ? 2 : 1);
    return line;
}

std::optional<EventId> numericId(std::string_view value)
{
    EventId id = 0;
    const char *const end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, id);
    if (error != std::errc() || rest != end)
        return std::nullopt;
    return id;
}

} // namespace

std::optional<std::string_view> EventSplitter::next()
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    const std::size_t begin = m_endedWithCr && m_buffer.starts_with('\n') ? 1 : 0;
    const std::size_t length = blockLength(m_buffer, begin);
    if (length == std::string_view::npos)
        return std::nullopt;
    m_consumed = length;
    m_endedWithCr = m_buffer[length - 1] == '\r';
    const std::string_view block = std::string_view(m_buffer).substr(0, length);
    parseBlock(block);
    return block;
}

void EventSplitter::parseBlock(std::string_view block)
{
    m_id.reset();
    m_isEvent = false;
    while (!block.empty()) {
        const std::string_view line = takeLine(block);
        const std::size_t colon = line.find(':');
        const std::string_view field = line.substr(0, colon);
        std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (field == "id") {
            if (const auto id = numericId(value))
                m_id = id;
        }
        m_isEvent = m_isEvent || field == "data";
    }
    m_isEvent = m_isEvent || m_id;
}

bool EventSplitter::hasStatusLine() const
{
    std::string_view block = std::string_view(m_buffer).substr(0, m_consumed);
    while (!block.empty()) {
        if (takeLine(block).starts_with("HTTP/1."))
            return true;
    }
    return false;
}

bool EventSplitter::hasPartialEvent() const
{
    std::string_view rest = remainder();
    while (!rest.empty()) {
        const std::string_view line = takeLine(rest);
        if (!line.empty() && !line.starts_with(':'))
            return true;
    }
    return false;
}

} // namespace monsoonsail
