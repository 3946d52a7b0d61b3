#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Collects the log lines about one request from the logs of several processes.
class LogTimeline
{
public:
    explicit LogTimeline(std::string request)
        : m_request(std::move(request))
    { }

    /// Reads a log. Lines that aren't JSON objects with a time and an event are counted and
    /// skipped.
    void read(std::istream &log);

    /// Returns the lines of the request, and as context the lines that the same instances wrote
    /// without a request, for example about endpoints, the configuration or the platform. The
    /// context starts `leadSeconds` before the first line of the request and ends at its last one.
    /// Lines about endpoints that the request was not sent to are left out, unless it was sent to
    /// none. The lines are sorted by time.
    std::vector<nlohmann::ordered_json> lines(double leadSeconds) const;
    /// Returns the number of lines that read() counted as unreadable.
    std::size_t unreadableLines() const { return m_unreadableLines; }

private:
    const std::string m_request;
    std::vector<nlohmann::ordered_json> m_requestLines;
    std::vector<nlohmann::ordered_json> m_contextLines; ///< Lines without a request.
    std::size_t m_unreadableLines = 0;
};

/// Formats a line as text: time, instance, event, then the other fields as name=value.
std::string formatLogLine(const nlohmann::ordered_json &line);

} // namespace monsoonsail
