#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/log_position.h"
#include "servers/store/log_record.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// The append-only log of the platform's store. `done` is called later, on the caller's thread.
/// Errors are of storeCategory(). The store may come back from an older copy, without what was
/// written since; offsets are positions that rise nevertheless (LogPosition).
class RecordLog
{
public:
    using ReadDone = std::function<void(std::error_code, const LogRecords &)>;
    /// Receives the offset of the appended record, or the end of the topic if the error is
    /// Conflict; 0 after other errors.
    using AppendDone = std::function<void(std::error_code, LogOffset)>;

    virtual ~RecordLog() = default;

    /// Reads the records from offset `from` on, and waits for one until `waitUntil`; from 0, the
    /// oldest ones kept. If records from there on are no longer kept, or `from` is of another era
    /// than the store is in, the error is Expired and `first` is set.
    virtual void read(std::string_view topic, LogOffset from, Instant waitUntil, ReadDone done) = 0;
    /// Reads the newest record of each key, all in one era. read() from its `end` returns the
    /// records that follow.
    virtual void readNewest(std::string_view topic, ReadDone done) = 0;
    /// Appends one record; with `at` only if the topic ends there, and the error is Restored if
    /// `at` is of another era than the store is in. In a topic with keys, `key` must not be empty.
    virtual void append(std::string_view topic, std::string_view key, std::string_view value,
                        std::optional<LogOffset> at, AppendDone done) = 0;
    /// Returns the highest era of all answers so far, or std::nullopt if it is not known.
    virtual std::optional<StoreEra> currentEra() const { return std::nullopt; }
};

} // namespace monsoonsail
