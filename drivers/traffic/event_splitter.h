#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Splits a text/event-stream into blocks: events, and others such as comments. Lines end with CR,
/// LF or both (WHATWG HTML, "Server-sent events").
class EventSplitter
{
public:
    /// Appends bytes of the stream.
    void add(std::string_view bytes) { m_buffer.append(bytes); }
    /// Returns the next complete block with its blank line, or std::nullopt. The result is valid
    /// until the next call of a non-const function.
    std::optional<std::string_view> next();
    /// Whether the block that next() returned is an event: it has data or a numeric id.
    bool isEvent() const { return m_isEvent; }
    /// Returns the numeric id of the event that next() returned, if it has one.
    std::optional<EventId> id() const { return m_id; }
    /// Whether a line of the block that next() returned is the status line of a response.
    bool hasStatusLine() const;
    /// Returns the bytes of the incomplete block.
    std::string_view remainder() const { return std::string_view(m_buffer).substr(m_consumed); }
    /// Whether the incomplete block has more than comments.
    bool hasPartialEvent() const;

private:
    void parseBlock(std::string_view block);

    std::string m_buffer;
    std::size_t m_consumed = 0; ///< Size of the block that next() returned, still in the buffer.
    std::optional<EventId> m_id;
    bool m_isEvent = false;
    bool m_endedWithCr = false; ///< A line feed that follows belongs to the block before.
};

} // namespace monsoonsail
