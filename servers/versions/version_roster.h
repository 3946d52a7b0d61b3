#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/log_position.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace monsoonsail {

/// The software versions of each service at which streams may begin, kept in the store. A version
/// is added before the first stream begins there, so that an instance that reads the roster knows
/// all versions that a stream in progress can have.
class VersionRoster
{
public:
    using ReadDone = std::function<void(std::error_code)>;

    /// All references must outlive the roster, and the roster its pending calls.
    VersionRoster(const std::string &instance, const EndpointRegistry &endpoints, RecordLog &log,
                  std::function<Instant()> now, DecisionLog &decisions);

    /// Adds listed versions that are missing, and removes those without endpoints. Call
    /// periodically. Readers of the store come first, so that the others find the version there.
    /// `clockCorrection` leads to the clock of all instances together.
    void advance(bool isReader, Duration clockCorrection);
    /// Reads the roster. Calls share a read that begins after them.
    void read(ReadDone done);

    /// Whether the version is known to be in the roster.
    bool contains(const ServiceId &service, const SoftwareVersion &software) const;
    /// Whether the service has several versions, by the roster or by the list of endpoints, or may
    /// have, as the roster shows nothing.
    bool isMixed(const ServiceId &service) const;
    /// Returns the version of all streams of the service in progress at the last read, if there is
    /// only one.
    std::optional<SoftwareVersion> onlyVersion(const ServiceId &service) const;
    /// Whether the roster has had all versions listed at a time since the start, or they could not
    /// be added in time.
    bool isSettled() const { return m_isSettled; }

private:
    using Versions = std::set<SoftwareVersion>;

    /// The record of a service.
    struct Entry
    {
        Versions versions;
        StoreEra era = 0; ///< Era of the store in which it was written.
        LogOffset offset = 0;
        /// Until then, streams may be in progress that began at versions which it lacks. By the
        /// clock of all instances together.
        Instant incompleteUntil;
    };

    void startRead();
    void handleRead(std::error_code error, const LogRecords &records);
    void observeList(Instant now);
    bool containsListed() const;
    /// Whether another instance may have removed the version since the last read, as it has been
    /// absent for long.
    bool mayBeRetired(const ServiceId &service, const SoftwareVersion &software) const;
    /// Whether the store has come back from a copy since the last read.
    bool isOutdated() const;
    /// Whether the entry was written in the era of the last read.
    bool isCurrent(const Entry &entry) const;
    /// Returns the versions that the entry of the service should have, if that differs.
    std::optional<Versions> wantedVersions(const ServiceId &service, Instant now) const;
    std::optional<ServiceId> serviceToWrite(Instant now) const;
    void write(const ServiceId &service, const Versions &versions);

    const std::string m_instance;
    const EndpointRegistry &m_endpoints;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    DecisionLog &m_decisions;
    std::map<ServiceId, Versions> m_listed;
    /// Since when a version of the roster has had no known endpoint.
    std::map<ServiceId, std::map<SoftwareVersion, Instant>> m_absentSince;
    std::map<ServiceId, Entry> m_entries; ///< As last read.
    std::optional<LogOffset> m_end;       ///< Of the topic, as last read; empty before.
    bool m_isSettled = false;
    std::optional<Instant> m_settleDeadline; ///< Set by the first read.
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isReader = false;
    Duration m_clockCorrection{};
    std::optional<Instant> m_advancedAt;
    /// When a missing version is added, or a failed call repeated.
    std::optional<Instant> m_nextWriteAt;
    Duration m_retryInterval;
    std::vector<ReadDone> m_served;  ///< Callers of the read in progress.
    std::vector<ReadDone> m_waiting; ///< Callers of the next one.
};

} // namespace monsoonsail
