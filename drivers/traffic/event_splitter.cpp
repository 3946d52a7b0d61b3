#include "drivers/traffic/event_splitter.h"

#include <charconv>

namespace monsoonsail {

namespace {

/// Returns the length of the first event with its blank line, or npos if it is incomplete.
std::size_t eventLength(std::string_view text)
{
    const std::size_t lfEnd = text.find("\n\n");
    const std::size_t crlfEnd = text.find("\r\n\r\n");
    if (crlfEnd < lfEnd)
        return crlfEnd + 4;
    return lfEnd == std::string_view::npos ? lfEnd : lfEnd + 2;
}

/// Removes the first line from `text` and returns it without its line feed.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return line;
}

std::optional<EventId> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        std::string_view line = takeLine(event);
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        EventId id = 0;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const char *const end = line.data() + line.size();
        const auto [rest, error] = std::from_chars(line.data(), end, id);
        if (error == std::errc() && rest == end)
            return id;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string_view> EventSplitter::next()
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    const std::size_t length = eventLength(m_buffer);
    if (length == std::string_view::npos)
        return std::nullopt;
    m_consumed = length;
    const std::string_view event = std::string_view(m_buffer).substr(0, length);
    m_id = eventId(event);
    return event;
}

bool EventSplitter::hasStatusLine() const
{
    std::string_view event = std::string_view(m_buffer).substr(0, m_consumed);
    while (!event.empty()) {
        if (takeLine(event).starts_with("HTTP/1."))
            return true;
    }
    return false;
}

} // namespace monsoonsail
