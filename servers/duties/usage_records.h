#pragma once

#include "core/log_position.h"
#include "servers/metering/usage_counts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Counts of one window as stored in a record.
struct UsageRecord
{
    WindowNumber window = 0;
    std::string incarnation; ///< The process that counted; empty for the sum over all processes.
    UsageCounts counts;
    StoreEra era = 0; ///< Era of the store for which a sum was stored.
};

std::string encodeUsage(const UsageRecord &record);
/// Returns std::nullopt if the text is not a usage record.
std::optional<UsageRecord> decodeUsage(std::string_view text);

/// Returns a hash of the counts, by which log lines of different instances can be compared.
std::uint64_t hashCounts(const UsageCounts &counts);

} // namespace monsoonsail
