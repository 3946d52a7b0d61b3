#include "servers/rollout/rollout_record.h"

#include "core/json_fields.h"
#include "core/json_text.h"

#include <limits>

namespace monsoonsail {

namespace {

/// Five thousand years, so that differences of instants don't overflow.
constexpr std::uint64_t maxTimeUs = 160'000'000'000'000'000;

std::optional<Instant> instantField(const nlohmann::json &record, const char *name)
{
    const auto us = uintField(record, name);
    if (!us || *us > maxTimeUs)
        return std::nullopt;
    return instantFromMicroseconds(static_cast<std::int64_t>(*us));
}

} // namespace

std::string encodeRolloutRecord(const RolloutState &state)
{
    nlohmann::json oldVersions = nlohmann::json::array();
    for (const SoftwareVersion &version : state.oldVersions)
        oldVersions.push_back(version.view());
    return toJsonText(nlohmann::json{{"order", state.order},
                                     {"target", state.target.view()},
                                     {"phase", static_cast<unsigned>(state.phase)},
                                     {"change", state.change},
                                     {"ordered_us", toMicroseconds(state.orderedAt)},
                                     {"due_us", toMicroseconds(state.dueAt)},
                                     {"old", oldVersions}});
}

std::optional<RolloutState> decodeRolloutRecord(const std::string &service, std::string_view text)
{
    const nlohmann::json record = parseJson(text);
    const auto order = uintField(record, "order");
    const auto target = stringField(record, "target");
    const auto phase = uintField(record, "phase");
    const auto change = uintField(record, "change");
    const auto orderedAt = instantField(record, "ordered_us");
    const auto dueAt = instantField(record, "due_us");
    const bool isPhase = phase && *phase >= static_cast<unsigned>(RolloutPhase::Trial)
            && *phase <= static_cast<unsigned>(RolloutPhase::RolledBack);
    if (!order || !target || !isPhase || !change || !orderedAt || !dueAt
        || *change > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    RolloutState state{.service = ServiceId(service),
                       .target = SoftwareVersion(*target),
                       .phase = static_cast<RolloutPhase>(*phase),
                       .order = *order,
                       .change = static_cast<std::uint32_t>(*change),
                       .orderedAt = *orderedAt,
                       .dueAt = *dueAt};
    for (const nlohmann::json &version : arrayField(record, "old")) {
        if (version.is_string())
            state.oldVersions.emplace_back(version.get<std::string>());
    }
    return state;
}

} // namespace monsoonsail
