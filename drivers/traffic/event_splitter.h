#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Splits a text/event-stream into events.
class EventSplitter
{
public:
    /// Appends bytes of the stream.
    void add(std::string_view bytes) { m_buffer.append(bytes); }
    /// Returns the next complete event with its blank line, or std::nullopt. The result is valid
    /// until the next call of a non-const function.
    std::optional<std::string_view> next();
    /// Returns the numeric id of the event that next() returned, if it has one.
    std::optional<EventId> id() const { return m_id; }
    /// Whether a line of the event that next() returned is the status line of a response.
    bool hasStatusLine() const;
    /// Whether the buffer holds bytes of an incomplete event.
    bool hasRemainder() const { return m_consumed < m_buffer.size(); }
    /// Returns the size of the incomplete event.
    std::size_t remainderBytes() const { return m_buffer.size() - m_consumed; }

private:
    std::string m_buffer;
    std::size_t m_consumed = 0; ///< Size of the event that next() returned, still in the buffer.
    std::optional<EventId> m_id;
};

} // namespace monsoonsail
