#pragma once

#include "core/identifiers.h"

#include <string>
#include <vector>

namespace monsoonsail {

/// One record of a topic of the platform's store.
struct LogRecord
{
    LogOffset offset = 0;
    std::string key;   ///< Empty in a topic without keys.
    std::string value; ///< Empty in a topic with keys if the key was removed.
};

/// A range of records.
struct LogRecords
{
    std::vector<LogRecord> records;
    LogOffset end = 0;   ///< Offset of the next record to read.
    LogOffset first = 0; ///< Oldest offset that the store still has, in its present era.
    /// Whether the response reached its maximum size, so that records that existed when it was
    /// written follow from `end` on.
    bool isCutOff = false;
};

} // namespace monsoonsail
