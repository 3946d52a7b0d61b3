#pragma once

#include "servers/ports/decision_log.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace monsoonsail {

/// Records the names of the logged events, and the texts of the last line of each.
class RecordingLog : public DecisionLog
{
public:
    void write(LogLevel /*level*/, std::string_view event, std::string_view /*request*/,
               std::initializer_list<LogField> fields) override
    {
        events.emplace_back(event);
        std::map<std::string, std::string> &texts = lastTexts[std::string(event)];
        texts.clear();
        for (const LogField &field : fields) {
            if (const auto *text = std::get_if<std::string_view>(&field.value))
                texts[std::string(field.name)] = *text;
        }
    }

    std::vector<std::string> events;
    /// Texts of the last line of each event, by field.
    std::map<std::string, std::map<std::string, std::string>> lastTexts;
};

} // namespace monsoonsail
