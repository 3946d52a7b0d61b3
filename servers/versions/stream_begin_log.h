#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/log_position.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonsail {

/// At which software version streams began. Each instance remembers its own ones, and appends them
/// to the store, in batches, while the service has several versions. A record is a fact: it holds
/// whatever becomes of the store or of other records.
class StreamBeginLog
{
public:
    using FindDone = std::function<void(std::error_code, std::optional<SoftwareVersion>)>;
    using ServicePredicate = std::function<bool(const ServiceId &)>;

    /// All references must outlive the log, and the log its pending calls.
    StreamBeginLog(const std::string &instance, RecordLog &log, std::function<Instant()> now,
                   DecisionLog &decisions);

    void add(const ServiceId &service, std::string_view request, const SoftwareVersion &software);
    /// Notes which services have several versions, and appends what is due. Call periodically.
    void advance(const ServicePredicate &isMixed, unsigned instanceCount);
    /// Appends what is due. Call after add().
    void writeDue();
    /// Returns the version of a stream that this instance has served.
    std::optional<SoftwareVersion> findOwn(const ServiceId &service,
                                           std::string_view request) const;
    /// Finds the version in the records of all instances. Calls share the reads that begin after
    /// them.
    void find(const ServiceId &service, std::string_view request, FindDone done);

private:
    using StreamHash = std::uint64_t;

    struct Begin
    {
        ServiceId service;
        SoftwareVersion software;
    };

    /// A version that was read from the store.
    struct Record
    {
        SoftwareVersion software;
        Instant readAt;
    };

    /// A caller of find().
    struct Query
    {
        StreamHash stream = 0;
        FindDone done;
    };

    static StreamHash hashOf(const ServiceId &service, std::string_view request);
    void forgetOld(Instant now);
    void write(Instant now);
    Duration writeInterval() const;
    void startRead();
    void readTopic(std::size_t topic);
    void handleRead(std::size_t topic, std::error_code error, const LogRecords &records);
    void finishRead();

    const std::size_t m_ownTopic;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    DecisionLog &m_decisions;
    std::unordered_map<StreamHash, Begin> m_begins;     ///< Own ones of the last seconds.
    std::deque<std::pair<Instant, StreamHash>> m_order; ///< Of m_begins, the oldest first.
    std::set<ServiceId> m_recordedServices;             ///< Those with several versions.
    std::vector<StreamHash> m_unwritten;
    unsigned m_instanceCount = 1;
    std::optional<StoreEra> m_era; ///< In which the recorded ones were appended.
    bool m_isWriting = false;
    Instant m_nextWriteAt = Instant::min();
    std::unordered_map<StreamHash, Record> m_records;
    std::vector<LogOffset> m_nextOffsets; ///< Of the next record to read, by topic.
    std::size_t m_openReads = 0;
    std::error_code m_readError;
    std::vector<Query> m_served;  ///< Queries of the read in progress.
    std::vector<Query> m_waiting; ///< Queries of the next one.
};

} // namespace monsoonsail
