#pragma once

#include "core/log_position.h"
#include "servers/ports/record_log.h"
#include "servers/serving/serving_context.h"
#include "servers/site/configuration_feed.h"

#include <functional>
#include <system_error>

namespace monsoonsail {

/// Keeps the configuration that was in force when the store came back from an older copy, where
/// instances that start later find it. The copy may lack it until the operator publishes it again.
class ConfigurationKeeper
{
public:
    /// References must outlive the keeper.
    ConfigurationKeeper(ServingContext &context, ConfigurationFeed &feed, RecordLog &log,
                        std::function<Instant()> now);

    /// Stores the configuration in force if this instance is a reader, and none was kept since the
    /// store came back or the store lacks a later one. Looks for a kept one while the one in force
    /// may be outdated. Call periodically.
    void advance(bool isReader);

private:
    /// What is known about the record in the store.
    struct Kept
    {
        Revision revision = 0;
        StoreEra era = 0; ///< Era in which it was written; 0 if there is none.
    };

    bool mustKeep() const;
    void look();
    void handleLook(std::error_code error, const LogRecords &records);
    void apply(const LogRecord &record);
    void keep(LogOffset end);
    void handleKept(std::error_code error, const Kept &kept);
    void logFailure(std::error_code error);

    ServingContext &m_context;
    ConfigurationFeed &m_feed;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    bool m_isReader = false;
    bool m_isCallPending = false;
    int m_looksInVain = 0; ///< Since the last time that none was due.
    Instant m_nextCallAt;
    Kept m_kept; ///< When the record was last read or written.
};

} // namespace monsoonsail
