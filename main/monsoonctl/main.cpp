#include "core/json_text.h"
#include "drivers/logging/log_timeline.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(bool, json, false, "print one JSON object per line instead of text");
ABSL_FLAG(double, lead_s, 5,
          "print related lines from this many seconds before the request's first line");

namespace {

using namespace monsoonsail;

constexpr int exitNothingFound = 1;
constexpr int exitUsage = 2;
constexpr const char *usage = "Command line of monsoonsail.\n"
                              "monsoonctl explain REQUEST-ID [FILE...]\n"
                              "  prints the log lines about a request from the files, or from "
                              "standard input, in order of time";

int explain(const std::string &request, const std::vector<std::string> &files)
{
    LogTimeline timeline(request);
    for (const std::string &path : files) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "cannot read the log \"" << path << "\"\n";
            return exitUsage;
        }
        timeline.read(file);
    }
    if (files.empty())
        timeline.read(std::cin);
    const auto lines = timeline.lines(absl::GetFlag(FLAGS_lead_s));
    for (const auto &line : lines)
        std::cout << (absl::GetFlag(FLAGS_json) ? toJsonText(line) : formatLogLine(line)) << "\n";
    if (timeline.unreadableLines() > 0)
        std::cerr << timeline.unreadableLines() << " lines could not be read and were skipped\n";
    if (!lines.empty())
        return 0;
    std::cerr << "no line names the request \"" << request << "\"\n";
    return exitNothingFound;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usage);
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() < 3 || std::string(arguments[1]) != "explain") {
        std::cerr << usage << "\n";
        return exitUsage;
    }
    return explain(arguments[2], {arguments.begin() + 3, arguments.end()});
}
