#pragma once

#include "tests/servers/revision_codec.h"

#include <string>

namespace monsoonsail {

/// Reads orders of the form "<target>/<time in s>" under the key "order/<service>", and writes
/// statuses of the form "<state> <target>".
class OrderCodec : public RevisionCodec
{
public:
    static constexpr std::string_view keyPrefix = "order/";
    static constexpr std::string_view statusTopic = "keyed.report";

    bool isRolloutOrder(std::string_view key) const override { return key.starts_with(keyPrefix); }
    std::optional<RolloutOrder> parseRolloutOrder(std::string_view key, std::string_view text,
                                                  std::string &fault) const override
    {
        const std::size_t slash = text.find('/');
        if (slash == std::string_view::npos) {
            fault = "no time";
            return std::nullopt;
        }
        return RolloutOrder{.service = ServiceId(std::string(key.substr(keyPrefix.size()))),
                            .target = SoftwareVersion(std::string(text.substr(0, slash))),
                            .allowedTime = std::chrono::seconds(
                                    std::stoi(std::string(text.substr(slash + 1))))};
    }
    std::string_view rolloutStatusTopic() const override { return statusTopic; }
    std::string rolloutStatusKey(const ServiceId &service) const override
    {
        return std::string(keyPrefix) + service.value();
    }
    std::string rolloutStatus(RolloutPhase phase, const SoftwareVersion &target) const override
    {
        std::string state = "running ";
        if (phase == RolloutPhase::Completed)
            state = "completed ";
        else if (phase == RolloutPhase::RollingBack || phase == RolloutPhase::RolledBack)
            state = "rolled-back ";
        return state + target.value();
    }
};

} // namespace monsoonsail
