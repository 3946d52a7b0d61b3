#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Finds what happened to one request in the logs of several processes.
class LogTimeline
{
public:
    explicit LogTimeline(std::string request)
        : m_request(std::move(request))
    { }

    /// Reads the lines of a log. Lines of other shape are counted and left out.
    void read(std::istream &log);

    /// Returns the request's own lines, and what its instances believed about the endpoints, the
    /// configuration and their dependencies from `leadSeconds` seconds before its first line until
    /// its last one, in the order of their time.
    std::vector<nlohmann::ordered_json> lines(double leadSeconds) const;
    /// Number of lines that could not be read.
    std::size_t unreadableLines() const { return m_unreadableLines; }

private:
    const std::string m_request;
    std::vector<nlohmann::ordered_json> m_requestLines;
    std::vector<nlohmann::ordered_json> m_contextLines; ///< Lines that name no request.
    std::size_t m_unreadableLines = 0;
};

/// Returns the line as text: time, instance, event, and the other fields as name=value.
std::string formatLogLine(const nlohmann::ordered_json &line);

} // namespace monsoonsail
