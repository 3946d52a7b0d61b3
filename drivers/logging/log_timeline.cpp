#include "drivers/logging/log_timeline.h"

#include "core/json_text.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <set>
#include <utility>

namespace monsoonsail {

namespace {

using nlohmann::ordered_json;

std::string stringField(const ordered_json &line, const char *name)
{
    const auto field = line.find(name);
    return field != line.end() && field->is_string() ? field->get<std::string>() : std::string();
}

double timeOf(const ordered_json &line)
{
    return line.at("time").get<double>();
}

} // namespace

void LogTimeline::read(std::istream &log)
{
    std::string lineText;
    while (std::getline(log, lineText)) {
        if (lineText.empty())
            continue;
        ordered_json line = ordered_json::parse(lineText, nullptr, false);
        if (!line.is_object() || !line.contains("time") || !line["time"].is_number()
            || stringField(line, "event").empty()) {
            ++m_unreadableLines;
            continue;
        }
        const std::string request = stringField(line, "request");
        if (request == m_request)
            m_requestLines.push_back(std::move(line));
        else if (request.empty())
            m_contextLines.push_back(std::move(line));
    }
}

std::vector<ordered_json> LogTimeline::lines(double leadSeconds) const
{
    std::vector<ordered_json> result = m_requestLines;
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    double from = std::numeric_limits<double>::max();
    double to = std::numeric_limits<double>::lowest();
    for (const ordered_json &line : m_requestLines) {
        instances.insert(stringField(line, "instance"));
        if (const std::string endpoint = stringField(line, "endpoint"); !endpoint.empty())
            endpoints.insert(endpoint);
        from = std::min(from, timeOf(line) - leadSeconds);
        to = std::max(to, timeOf(line));
    }
    for (const ordered_json &line : m_contextLines) {
        const std::string endpoint = stringField(line, "endpoint");
        // If the request was sent to no endpoint, the state of all of them may explain why.
        const bool isRelated = instances.contains(stringField(line, "instance"))
                && (endpoint.empty() || endpoints.empty() || endpoints.contains(endpoint));
        if (isRelated && timeOf(line) >= from && timeOf(line) <= to)
            result.push_back(line);
    }
    std::ranges::stable_sort(result, {}, timeOf);
    return result;
}

std::string formatLogLine(const ordered_json &line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%.3f", timeOf(line));
    std::string result = std::string(time.data()) + "  " + stringField(line, "instance") + "  "
            + stringField(line, "event");
    for (const auto &[name, value] : line.items()) {
        if (name == "time" || name == "instance" || name == "event" || name == "incarnation"
            || name == "level" || name == "request")
            continue;
        result += " " + name + "="
                + (value.is_string() ? value.get<std::string>() : toJsonText(value));
    }
    return result;
}

} // namespace monsoonsail
