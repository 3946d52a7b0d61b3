#pragma once

#include "servers/versions/stream_begin_log.h"
#include "servers/versions/stream_versions.h"
#include "servers/versions/version_roster.h"

#include <functional>
#include <string>

namespace monsoonsail {

/// Knows the versions of streams by the roster and the begin records of all instances.
class VersionDirectory : public StreamVersions
{
public:
    /// All references must outlive the directory, and the directory its pending calls.
    VersionDirectory(const std::string &instance, const EndpointRegistry &endpoints, RecordLog &log,
                     std::function<Instant()> now, DecisionLog &decisions);

    /// Call periodically. `instanceCount` is the number of entry instances.
    void advance(bool isReader, Duration clockCorrection, unsigned instanceCount);
    /// Writes begin records that are due. Call after the progress of streams has been handled.
    void writeDue() { m_begins.writeDue(); }
    /// Whether streams may begin at all versions that were listed at the start, or the roster could
    /// not be written in time.
    bool isSettled() const { return m_roster.isSettled(); }

    bool mayBegin(const ServiceId &service, const SoftwareVersion &software) const override;
    void recordBegin(const ServiceId &service, std::string_view request,
                     const SoftwareVersion &software) override;
    void findOrigin(const ServiceId &service, std::string_view request, Instant now,
                    OriginDone done) override;

private:
    void findWithRoster(const ServiceId &service, const std::string &request,
                        const OriginDone &done);

    const std::function<Instant()> m_now;
    VersionRoster m_roster;
    StreamBeginLog m_begins;
};

} // namespace monsoonsail
