#include "drivers/logging/log_timeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <set>
#include <utility>

namespace monsoonsail {

namespace {

using nlohmann::ordered_json;

std::string text(const ordered_json &line, const char *name)
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
    std::string bytes;
    while (std::getline(log, bytes)) {
        if (bytes.empty())
            continue;
        ordered_json line = ordered_json::parse(bytes, nullptr, false);
        if (!line.is_object() || !line.contains("time") || !line["time"].is_number()
            || text(line, "event").empty()) {
            ++m_unreadableLines;
            continue;
        }
        const std::string request = text(line, "request");
        if (request == m_request)
            m_own.push_back(std::move(line));
        else if (request.empty())
            m_beliefs.push_back(std::move(line));
    }
}

std::vector<ordered_json> LogTimeline::lines(double lead) const
{
    std::vector<ordered_json> result = m_own;
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    double from = std::numeric_limits<double>::max();
    double to = std::numeric_limits<double>::lowest();
    for (const ordered_json &line : m_own) {
        instances.insert(text(line, "instance"));
        if (const std::string endpoint = text(line, "endpoint"); !endpoint.empty())
            endpoints.insert(endpoint);
        from = std::min(from, timeOf(line) - lead);
        to = std::max(to, timeOf(line));
    }
    for (const ordered_json &line : m_beliefs) {
        const std::string endpoint = text(line, "endpoint");
        // A request that was sent nowhere concerns all endpoints.
        const bool concerns = instances.contains(text(line, "instance"))
                && (endpoint.empty() || endpoints.empty() || endpoints.contains(endpoint));
        if (concerns && timeOf(line) >= from && timeOf(line) <= to)
            result.push_back(line);
    }
    std::ranges::stable_sort(result, {}, timeOf);
    return result;
}

std::string formatLogLine(const ordered_json &line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%.3f", timeOf(line));
    std::string result =
            std::string(time.data()) + "  " + text(line, "instance") + "  " + text(line, "event");
    for (const auto &[name, value] : line.items()) {
        if (name == "time" || name == "instance" || name == "event" || name == "incarnation"
            || name == "level" || name == "request")
            continue;
        result += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return result;
}

} // namespace monsoonsail
