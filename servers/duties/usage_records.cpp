#include "servers/duties/usage_records.h"

#include "core/hash.h"
#include "core/json_fields.h"
#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace monsoonsail {

namespace {
/// Up to here, readers of JSON agree on whole numbers.
constexpr WindowNumber maxWindow = 1ULL << 53U;
} // namespace

std::string encodeUsage(const UsageRecord &record)
{
    nlohmann::json counts = nlohmann::json::object();
    for (const auto &[account, requests] : record.counts)
        counts[account.value()] = requests;
    return toJsonText(nlohmann::json{{"window", record.window},
                                     {"incarnation", record.incarnation},
                                     {"counts", counts},
                                     {"era", record.era}});
}

std::optional<UsageRecord> decodeUsage(std::string_view text)
{
    const nlohmann::json document = parseJson(text);
    const auto window = uintField(document, "window");
    const auto incarnation = stringField(document, "incarnation");
    const auto counts = document.find("counts");
    const auto era = document.contains("era") ? uintField(document, "era") : 0;
    if (!window || *window > maxWindow || !incarnation || counts == document.end()
        || !counts->is_object() || !era || *era > LogPosition::maxEra)
        return std::nullopt;
    UsageRecord record{
            .window = *window, .incarnation = *incarnation, .era = static_cast<StoreEra>(*era)};
    for (const auto &[account, requests] : counts->items()) {
        const auto count = toUint(requests);
        if (!count || *count > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        record.counts[AccountId(account)] = static_cast<std::uint32_t>(*count);
    }
    return record;
}

std::uint64_t hashCounts(const UsageCounts &counts)
{
    return stableHash(encodeUsage({.counts = counts}));
}

} // namespace monsoonsail
