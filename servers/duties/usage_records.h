#pragma once

#include "servers/metering/usage_counts.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Counts of one window as they lie in the store.
struct UsageRecord
{
    WindowNumber window = 0;
    std::string incarnation; ///< The process that counted; empty for the counts of all.
    UsageCounts counts;
};

std::string encodeUsage(const UsageRecord &record);
/// Returns nothing if the text is no such record.
std::optional<UsageRecord> decodeUsage(std::string_view text);

} // namespace monsoonsail
